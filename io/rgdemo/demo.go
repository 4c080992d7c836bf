// Package rgdemo runs the whole system in one process over loopback TCP, with stand-ins for the store and the upstreams.
package rgdemo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"ragwortgap/core/rgmodel"
	"ragwortgap/io/rgcommandapi"
	"ragwortgap/io/rgentry"
	"ragwortgap/io/rgqueryapi"
	"ragwortgap/io/rgsettings"
	"ragwortgap/io/rgsidecar"
	"ragwortgap/io/rgstandin"
)

const (
	entryCount            = 3
	sidecarCount          = 10
	slotsPerSidecar       = 8
	connectionsPerSidecar = 60
	readyTimeout          = 15 * time.Second
	readyPollInterval     = 20 * time.Millisecond
	anyPort               = "127.0.0.1:0"
	exampleJob            = `{"team":"kitapDostu","kind":"signUps","deadline":"2s","tasks":[{"reader":1},{"reader":2}]}`
)

type (
	// Options configures the demo.
	Options struct {
		// Keep keeps the system running after the report.
		Keep bool
	}

	// System holds the processes, stand-ins and servers of the demo.
	System struct {
		Store           *rgstandin.Store
		Upstreams       []*rgstandin.Upstream
		Starts          *rgstandin.StartLog
		Entries         []*rgentry.Process
		Sidecars        []*rgsidecar.Process
		CallerAddresses []string
		// StoreAddress and UpstreamAddress are printed, so processes that are started by hand can join the demo.
		StoreAddress, UpstreamAddress string
		Metrics                       tally.TestScope
		Servers                       []*http.Server
	}
)

// runTimes holds the mean run time of each kind on an upstream with a run time factor of 1.
var runTimes = map[string]time.Duration{
	"readingLists":      120 * time.Millisecond,
	"chapterReminders":  60 * time.Millisecond,
	"signUps":           80 * time.Millisecond,
	"menuConfirmations": 70 * time.Millisecond,
	"allocations":       150 * time.Millisecond,
	"stockChecks":       50 * time.Millisecond,
}

// Run starts the system, submits jobs and prints a report. It fails if an answer is neither complete nor a refusal, or if a
// task is started twice.
func Run(ctx context.Context, opt Options, out io.Writer) error {
	workCtx, stop := context.WithCancel(ctx)
	sys := &System{Starts: &rgstandin.StartLog{}, Metrics: tally.NewTestScope("", nil)}
	defer sys.close()
	defer stop()
	if err := sys.start(workCtx, zap.NewNop()); err != nil {
		return err
	}
	printLine(out, "started %d entries, %d sidecars, %d upstreams and a store stand-in on loopback", entryCount, sidecarCount, sidecarCount)
	if err := sys.awaitReady(ctx); err != nil {
		return err
	}
	rep, err := sys.runLoad(ctx, out)
	if err != nil {
		return err
	}
	rep.print(out)
	if opt.Keep {
		printLine(out, "entries: %s; peer addresses: %s; store: http://%s; an upstream: http://%s", strings.Join(sys.CallerAddresses, " "),
			strings.Join(sys.peerAddresses(), " "), sys.StoreAddress, sys.UpstreamAddress)
		printLine(out, "serving on http://%s until interrupted; try:", sys.CallerAddresses[0])
		printLine(out, `curl -s http://%s/v1/jobs -d '%s'`, sys.CallerAddresses[0], exampleJob)
		<-ctx.Done()
	}
	return rep.check()
}

func (sys *System) start(ctx context.Context, log *zap.Logger) error {
	sys.Store = &rgstandin.Store{}
	storeAddress, err := sys.serve(sys.Store)
	if err != nil {
		return err
	}
	sys.StoreAddress = storeAddress
	var peers []string
	for i := range entryCount {
		set := rgsettings.Entry{
			Name:             fmt.Sprintf("entry%d", i),
			AvailabilityZone: zoneName(i),
			CallerAddress:    anyPort,
			PeerAddress:      anyPort,
			Store:            "http://" + storeAddress,
			Peers:            peers,
		}
		if err := rgsettings.CheckEntry(&set); err != nil {
			return err
		}
		pro, err := rgentry.Start(ctx, set, log, sys.Metrics)
		if err != nil {
			return err
		}
		rtr := httprouter.New()
		rgcommandapi.Routes{Entry: pro}.Register(rtr)
		rgqueryapi.Routes{Entry: pro}.Register(rtr)
		adr, err := sys.serve(rtr)
		if err != nil {
			return err
		}
		sys.Entries = append(sys.Entries, pro)
		sys.CallerAddresses = append(sys.CallerAddresses, adr)
		peers = append(peers, pro.Self().Address)
	}
	for i := range sidecarCount {
		if err := sys.startSidecar(ctx, log, i, peers); err != nil {
			return err
		}
	}
	return nil
}

func (sys *System) startSidecar(ctx context.Context, log *zap.Logger, num int, peers []string) error {
	ups := &rgstandin.Upstream{
		Name:    fmt.Sprintf("upstream%d", num),
		RunTime: runTimes,
		// Upstreams differ in speed: the slowest takes 2.8 times as long as the fastest.
		RunTimeFactor: 0.6 + 0.12*float64(num),
		Log:           sys.Starts,
	}
	adr, err := sys.serve(ups)
	if err != nil {
		return err
	}
	sys.UpstreamAddress = adr
	set := rgsettings.Sidecar{
		Name:             fmt.Sprintf("sidecar%d", num),
		AvailabilityZone: zoneName(num),
		Rack:             fmt.Sprintf("rack%d", num/3),
		Entries:          peers,
		Upstream:         "http://" + adr,
		Slots:            slotsPerSidecar,
		Connections:      connectionsPerSidecar,
		Resources:        rgmodel.Resources{Cores: 30, MemoryBytes: 130 << 30},
	}
	if err := rgsettings.CheckSidecar(&set); err != nil {
		return err
	}
	pro, err := rgsidecar.Start(ctx, set, log, sys.Metrics)
	if err != nil {
		return err
	}
	sys.Upstreams = append(sys.Upstreams, ups)
	sys.Sidecars = append(sys.Sidecars, pro)
	return nil
}

func (sys *System) peerAddresses() []string {
	var adrs []string
	for _, ent := range sys.Entries {
		adrs = append(adrs, ent.Self().Address)
	}
	return adrs
}

func zoneName(num int) string {
	return fmt.Sprintf("zone%d", num%3)
}

func (sys *System) serve(hdl http.Handler) (string, error) {
	lis, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.Annotate(err, "listen")
	}
	srv := &http.Server{Handler: hdl, ReadHeaderTimeout: readyTimeout}
	sys.Servers = append(sys.Servers, srv)
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String(), nil
}

// awaitReady waits until every entry has all entries in its ring and can use every sidecar.
func (sys *System) awaitReady(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	tic := time.NewTicker(readyPollInterval)
	defer tic.Stop()
	for !sys.ready() {
		select {
		case <-tic.C:
		case <-ctx.Done():
			return errors.Timeoutf("start of the system")
		}
	}
	return nil
}

func (sys *System) ready() bool {
	for _, ent := range sys.Entries {
		if vie := ent.View(); len(vie.Ring.Entries) < entryCount || vie.UsableSidecars < sidecarCount {
			return false
		}
	}
	return true
}

func (sys *System) close() {
	for _, ent := range sys.Entries {
		<-ent.Done
	}
	for _, sid := range sys.Sidecars {
		<-sid.Done
	}
	for _, srv := range sys.Servers {
		_ = srv.Close()
	}
}

func printLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
