package rgqueue

import (
	"cmp"
	"slices"

	"ragwortgap/core/rgmodel"
	"ragwortgap/core/rgring"
)

// Seal raises MinGeneration to the ring's generation and returns the records of all submissions whose home in that ring
// is the given entry. Batches of an older generation are refused from then on.
func Seal(sta *State, rng rgmodel.Ring, home rgmodel.Entry) []rgmodel.Record {
	sta.MinGeneration = max(sta.MinGeneration, rng.Generation)
	var recs []rgmodel.Record
	for id, rec := range sta.Records {
		if ent, ok := rgring.Home(rng, id); ok && ent == home {
			recs = append(recs, exportRecord(id, rec))
		}
	}
	return recs
}

func exportRecord(id rgmodel.SubmissionID, rec *SubmissionRecord) rgmodel.Record {
	out := rgmodel.Record{ID: id, Digest: rec.Digest}
	for idx, tsk := range rec.Tasks {
		cpy := rgmodel.TaskRecord{State: tsk.State, Outcome: tsk.Outcome}
		cpy.Outcome.Index = idx
		// Results are left out to keep the reply to a seal small. They are fetched when a caller asks for them.
		cpy.Outcome.Result = nil
		out.Tasks = append(out.Tasks, cpy)
	}
	slices.SortFunc(out.Tasks, func(fst, snd rgmodel.TaskRecord) int { return cmp.Compare(fst.Outcome.Index, snd.Outcome.Index) })
	return out
}
