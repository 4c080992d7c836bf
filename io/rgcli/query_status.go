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
	// maxStatusBytes bounds the status of an entry, which has some 400 bytes for each sidecar.
	maxStatusBytes = 16 << 20
)

// StatusQuery prints the configuration in force at entries and sidecars.
type StatusQuery struct {
	Entries []string `arg:"positional,required" help:"caller addresses of entries, such as 127.0.0.1:8000"`
	Team    string   `arg:"--team" help:"show the revision of this team"`
}

// run fails when an entry does not answer or a configuration is not in force everywhere.
func (qry *StatusQuery) run(ctx context.Context, out io.Writer) error {
	versions := map[rgmodel.ConfigVersion]bool{}
	behind, silent := 0, 0
	for _, adr := range qry.Entries {
		sta, err := readStatus(ctx, adr)
		if err != nil {
			silent++
			say(out, "%s: %v", adr, err)
			continue
		}
		versions[sta.Config] = true
		current := 0
		for _, sid := range sta.Sidecars {
			if sid.Current {
				current++
			}
		}
		say(out, "%s: entry %s, ring generation %d, %d teams, revisions %d, digest %s, in force at %d of %d sidecars", adr,
			sta.Entry.Name, sta.Ring.Generation, sta.Config.Teams, sta.Config.Revisions, sta.Config.Digest, current, len(sta.Sidecars))
		if qry.Team != "" {
			say(out, "  team %s: revision %d", qry.Team, sta.Teams[qry.Team])
		}
		for _, sid := range sta.Sidecars {
			if !sid.Current {
				behind++
				say(out, "  sidecar %s: revisions %d, digest %s", sid.Name, sid.Config.Revisions, sid.Config.Digest)
			}
		}
	}
	if silent > 0 || behind > 0 || len(versions) > 1 {
		return errors.Errorf("not in force everywhere: %d versions at entries, %d sidecars behind, %d entries without answer",
			len(versions), behind, silent)
	}
	return nil
}

// readStatus takes the body whatever the status code, because a draining entry answers 503 with its state.
func readStatus(ctx context.Context, adr string) (rgqueryapi.Status, error) {
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
