package rgcli

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/juju/errors"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgqueryapi"
)

const (
	statusTimeout = 5 * time.Second
	// maxStatusBytes is the size limit of an entry's response, which has about 400 bytes for each sidecar.
	maxStatusBytes = 16 << 20
)

// StatusQuery prints the configuration versions in force at entries and sidecars.
type StatusQuery struct {
	Entries []string `arg:"positional,required" help:"caller addresses of entries, such as 127.0.0.1:8000"`
	Team    string   `arg:"--team" help:"show the revision of this team"`
}

// run fails if an entry does not answer or if not all entries and sidecars have the same configuration in force.
func (qry *StatusQuery) run(ctx context.Context, out io.Writer) error {
	versions := map[rgmodel.ConfigVersion]bool{}
	outdated, unreachable := 0, 0
	for _, adr := range qry.Entries {
		sta, err := fetchStatus(ctx, adr)
		if err != nil {
			unreachable++
			printLine(out, "%s: %v", adr, err)
			continue
		}
		versions[sta.Config] = true
		current := 0
		for _, sid := range sta.Sidecars {
			if sid.Current {
				current++
			}
		}
		printLine(out, "%s: entry %s, ring generation %d, %d teams, revisions %d, digest %s, in force at %d of %d sidecars", adr,
			sta.Entry.Name, sta.Ring.Generation, sta.Config.Teams, sta.Config.Revisions, sta.Config.Digest, current, len(sta.Sidecars))
		if qry.Team != "" {
			printLine(out, "  team %s: revision %d", qry.Team, sta.Teams[qry.Team])
		}
		for _, sid := range sta.Sidecars {
			if !sid.Current {
				outdated++
				printLine(out, "  sidecar %s: revisions %d, digest %s", sid.Name, sid.Config.Revisions, sid.Config.Digest)
			}
		}
	}
	if unreachable > 0 || outdated > 0 || len(versions) > 1 {
		return errors.Errorf("not in force everywhere: %d versions at entries, %d sidecars behind, %d entries without answer",
			len(versions), outdated, unreachable)
	}
	return nil
}

// fetchStatus accepts any status code, because a draining entry sends its status with code 503.
func fetchStatus(ctx context.Context, adr string) (rgqueryapi.Status, error) {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	var sta rgqueryapi.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adr+"/v1/status", nil)
	if err != nil {
		return sta, errors.NotValidf("entry address %q", adr)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return sta, errors.Trace(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	err = json.UnmarshalRead(io.LimitReader(rsp.Body, maxStatusBytes), &sta)
	return sta, errors.Annotatef(err, "status %d", rsp.StatusCode)
}
