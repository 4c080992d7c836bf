package rgcli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/juju/errors"

	"ragwortgap/core/rgburn"
	"ragwortgap/io/rgqueryapi"
)

const (
	burnTimeout = 5 * time.Second
	// maxBurnBytes is the size limit of an entry's response, which has about 3 KB for each flow.
	maxBurnBytes = 16 << 20
)

// BurnQuery prints the error budgets of the flows, summed over entries.
type BurnQuery struct {
	Entries []string `arg:"positional,required" placeholder:"ADDRESS" help:"entries, such as 127.0.0.1:8080 or https://10.1.0.5:8443"`
	CA      string   `arg:"--ca" placeholder:"FILE" help:"authorities of the entries, PEM; default: the system's"`
}

// run prints the sums over the entries that answer. It fails if an entry does not answer, because the sums lack its jobs.
func (qry *BurnQuery) run(ctx context.Context, out io.Writer) error {
	cli, err := newClient(qry.CA)
	if err != nil {
		return err
	}
	var lists [][]rgburn.FlowReport
	var failures []string
	for _, adr := range qry.Entries {
		body, err := fetchBurn(ctx, cli, adr)
		if err != nil {
			failures = append(failures, err.Error())
			continue
		}
		lists = append(lists, body.Flows)
	}
	if err := printBurn(out, rgburn.Sum(lists...)); err != nil {
		return err
	}
	if len(failures) > 0 {
		return errors.Errorf("%d of %d entries did not answer: %s", len(failures), len(qry.Entries), strings.Join(failures, "; "))
	}
	return nil
}

func newClient(authorities string) (*http.Client, error) {
	if authorities == "" {
		return http.DefaultClient, nil
	}
	raw, err := os.ReadFile(authorities)
	if err != nil {
		return nil, errors.NewNotValid(err, "--ca")
	}
	pol := x509.NewCertPool()
	if !pol.AppendCertsFromPEM(raw) {
		return nil, errors.NotValidf("--ca %s: no certificate in the file", authorities)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pol}}}, nil
}

func fetchBurn(ctx context.Context, cli *http.Client, adr string) (rgqueryapi.BurnReport, error) {
	var body rgqueryapi.BurnReport
	if !strings.Contains(adr, "://") {
		adr = "http://" + adr
	}
	ctx, stop := context.WithTimeout(ctx, burnTimeout)
	defer stop()
	loc := strings.TrimSuffix(adr, "/") + "/v1/burn"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, loc, nil)
	if err != nil {
		return body, errors.NotValidf("address %q", adr)
	}
	rsp, err := cli.Do(req)
	if err != nil {
		return body, errors.Trace(err)
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return body, errors.Errorf("GET %s: status %d", loc, rsp.StatusCode)
	}
	err = json.UnmarshalRead(io.LimitReader(rsp.Body, maxBurnBytes), &body)
	return body, errors.Annotatef(err, "GET %s", loc)
}

func printBurn(out io.Writer, reps []rgburn.FlowReport) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tab, "team\tkind\tobjective\tburn 5m\tburn 1h\tbudget left\tgood\tlate\trefused\tfailed\tmayHaveRun\t")
	for _, rep := range reps {
		cnt := rep.Long.Counts
		_, _ = fmt.Fprintf(tab, "%s\t%s\t%.2f%%\t%.2f\t%.2f\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t\n", rep.Flow.Team, rep.Flow.Kind,
			100*rep.Objective, rep.Short.BurnRate, rep.Long.BurnRate, 100*rep.BudgetLeft,
			cnt.Good, cnt.Late, cnt.Refused, cnt.Failed, cnt.MayHaveRun)
	}
	return errors.Annotate(tab.Flush(), "print burn rates")
}
