package rgcli

import (
	"cmp"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/juju/errors"

	"ragwortgap/core/rgdispatch"
	"ragwortgap/core/rgevacuation"
	"ragwortgap/io/rgdispatcher"
)

// ZonesQuery prints which availability zones are evacuated, since when, and what still runs and is queued there.
type ZonesQuery struct {
	Entries []string `arg:"positional,required" help:"metrics addresses of entries, such as 127.0.0.1:9100"`
}

// run fails if an entry does not answer or if the entries have sets with different zones.
func (qry *ZonesQuery) run(ctx context.Context, out io.Writer) error {
	var newest rgevacuation.Set
	zones, unreachable, differing := map[string]rgdispatch.ZoneState{}, 0, 0
	for i, adr := range qry.Entries {
		sta, err := fetchZones(ctx, adr)
		if err != nil {
			unreachable++
			printLine(out, "%s: %v", adr, err)
			continue
		}
		set := rgevacuation.Set{Version: sta.Version}
		for _, zon := range sta.Zones {
			rgevacuation.Add(&set, zon.Zone)
			zones[zon.Zone.Name] = mergeZones(zones[zon.Zone.Name], zon)
		}
		if i > unreachable && !rgevacuation.SameZones(newest, set) {
			differing++
		}
		rgevacuation.Adopt(&newest, set)
		printLine(out, "%s: entry %s, %d zones evacuated, store version %d", adr, sta.Entry, len(set.Zones), set.Version)
	}
	for _, zon := range newest.Zones {
		printZone(out, zon, zones[zon.Name].Sidecars)
	}
	if unreachable > 0 || differing > 0 {
		return errors.Errorf("entries disagree or do not answer: %d entries differ from the ones before, %d entries without answer",
			differing, unreachable)
	}
	return nil
}

func printZone(out io.Writer, zon rgevacuation.Zone, sds []rgdispatch.ZoneSidecar) {
	confirmed, running, queued := 0, 0, 0
	for _, sid := range sds {
		running, queued = running+sid.Running, queued+sid.Queued
		if sid.Confirmed {
			confirmed++
		}
	}
	printLine(out, "zone %s: evacuated since %s, key version %d, confirmed by %d of %d sidecars, %d tasks running, %d queued", zon.Name,
		time.UnixMilli(zon.SinceMillis).UTC().Format(time.RFC3339), zon.KeyVersion, confirmed, len(sds), running, queued)
	for _, sid := range sds {
		switch {
		case !sid.Confirmed:
			printLine(out, "  sidecar %s: not confirmed", sid.Name)
		case sid.Running+sid.Queued > 0:
			printLine(out, "  sidecar %s: %d running, %d queued", sid.Name, sid.Running, sid.Queued)
		}
	}
}

// mergeZones merges what two entries know of a zone. Each sidecar is listed once, with its larger numbers if the reports differ.
func mergeZones(one, two rgdispatch.ZoneState) rgdispatch.ZoneState {
	sds := map[string]rgdispatch.ZoneSidecar{}
	for _, sid := range slices.Concat(one.Sidecars, two.Sidecars) {
		cur := sds[sid.Name]
		sds[sid.Name] = rgdispatch.ZoneSidecar{
			Name: sid.Name, Confirmed: cur.Confirmed || sid.Confirmed,
			Running: max(cur.Running, sid.Running), Queued: max(cur.Queued, sid.Queued),
		}
	}
	two.Sidecars = slices.SortedFunc(maps.Values(sds), func(one, two rgdispatch.ZoneSidecar) int { return cmp.Compare(one.Name, two.Name) })
	return two
}

func fetchZones(ctx context.Context, adr string) (rgdispatcher.ZoneStates, error) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	var sta rgdispatcher.ZoneStates
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr+rgdispatcher.ZonesPath, nil)
	if err != nil {
		return sta, errors.NotValidf("entry address %q", adr)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return sta, errors.Trace(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return sta, errors.Errorf("status %d", rsp.StatusCode)
	}
	return sta, errors.Annotate(json.UnmarshalRead(io.LimitReader(rsp.Body, maxStatusBytes), &sta), "decode reply")
}
