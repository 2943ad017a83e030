package main

import (
	"net/url"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zerologr"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"boragehub/certificate"
	"boragehub/claim"
	"boragehub/entry"
	"boragehub/entry/placement"
	"boragehub/event/recorder"
	"boragehub/failure"
	"boragehub/intake"
	"boragehub/journal"
	"boragehub/journal/lease"
	"boragehub/operator"
	"boragehub/peer"
	"boragehub/quarantine"
	"boragehub/quarantine/notice"
	"boragehub/setting"
	"boragehub/setting/exchange"
	"boragehub/setting/publication"
	"boragehub/side"
	"boragehub/vm"
)

// debugLevel is the verbosity of lines that are written only at log level debug.
const debugLevel = 1

// recordedRequests is the number of requests whose log lines a process keeps for the explain
// view; at about 4 kB each they take 8 MB.
const recordedRequests = 2048

// provideClients returns the ledger of what the clients of the process's ports take.
func provideClients(cfg setting.Process, log logr.Logger) *intake.Ledger {
	return intake.NewLedger(intake.Config{Bytes: clientBytes(cfg.Limits.MemoryMB), Log: log})
}

func operatorPort(clients *intake.Ledger) *intake.Port {
	return clients.Port(intake.PortConfig{Name: "operators", Connections: maxOperatorConnections})
}

func provideRecorder(cfg setting.Process) *recorder.Recorder {
	return recorder.New(cfg.VM, recordedRequests)
}

func provideLogger(cfg setting.Process, r *recorder.Recorder) logr.Logger {
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	zerologr.VerbosityFieldName = ""
	zerologr.NameFieldName = "part"

	level := zerolog.InfoLevel

	switch cfg.LogLevel {
	case "debug":
		level = zerolog.DebugLevel - debugLevel
	case "error":
		level = zerolog.ErrorLevel
	}

	z := zerolog.New(os.Stdout).Level(level).With().Timestamp().
		Str("role", string(cfg.Role)).Str("self", cfg.VM).Logger()

	return logr.New(r.Sink(zerologr.NewLogSink(&z)))
}

func provideKeys(cfg setting.Process, log logr.Logger) (*certificate.Reloader, error) {
	return certificate.NewReloader(certificate.ReloaderConfig{
		CAFile:          cfg.TLS.CAFile,
		CertificateFile: cfg.TLS.CertificateFile,
		KeyFile:         cfg.TLS.KeyFile,
		Protocols:       []string{peer.Protocol},
		Logger:          log,
	})
}

func providePeerConfig(keys *certificate.Reloader) peer.Config {
	return peer.Config{TLS: keys.TLS()}
}

func providePeerServer(cfg setting.Process, p peer.Config, log logr.Logger) (*peer.Server, error) {
	return peer.Listen(p, cfg.Listen.Peers, log)
}

func provideVMList(cfg setting.Process, log logr.Logger, h *updateHandlers) *vm.Follower {
	return vm.NewFollower(vm.FollowerConfig{
		URL:    cfg.Platform.VMListURL,
		Log:    log,
		OnList: func(now time.Time, l *vm.List) { h.onList(now, l) },
	})
}

func provideJournal(cfg setting.Process) *journal.Client {
	return journal.NewClient(journal.ClientConfig{URL: cfg.Platform.LogURL})
}

func provideSettingsFollower(cfg setting.Process, log logr.Logger, j *journal.Client, d *peer.Dialer, list *vm.Follower, h *updateHandlers) *publication.Follower {
	return publication.NewFollower(publication.FollowerConfig{
		Log:      j,
		Self:     publication.Member{VM: cfg.VM, DataCentre: cfg.DataCentre},
		Members:  func() []publication.Member { return exchange.Members(list.List()) },
		Peers:    exchange.Peers{Requester: d, VMs: list},
		Logger:   log,
		OnChange: func(p *publication.Published) { h.onSettings(time.Now(), p) },
	})
}

// provideCrashFeed returns the feed of crash reports. An entry reads it; a side process only
// writes to it.
func provideCrashFeed(cfg setting.Process, log logr.Logger, j *journal.Client, h *updateHandlers) *notice.Feed {
	c := notice.Config{Log: j, Logger: log}
	if cfg.Role == setting.EntryRole {
		c.OnCrash = func(k quarantine.Crash) { h.onCrash(time.Now(), k) }
	}

	return notice.New(c)
}

func provideRolloutLease(cfg setting.Process, log logr.Logger, j *journal.Client) *lease.Keeper {
	return placement.NewKeeper(j, cfg.DataCentre, cfg.VM+"/"+uuid.NewString(), log)
}

// snapshotLease is held by the one process that writes settings snapshots to the log. It is a
// type of its own because an entry has two lease keepers, and wire tells them apart by type.
type snapshotLease struct{ *lease.Keeper }

func provideSnapshotLease(cfg setting.Process, log logr.Logger, j *journal.Client) snapshotLease {
	return snapshotLease{lease.NewKeeper(lease.Config{Log: j, Name: exchange.LeaseName, Holder: cfg.VM + "/" + uuid.NewString(), Logger: log})}
}

func provideSnapshotter(log logr.Logger, k snapshotLease, f *publication.Follower) *exchange.Snapshotter {
	return &exchange.Snapshotter{Lease: k, Settings: f, Log: log}
}

func provideLeader(cfg setting.Process, log logr.Logger, d *peer.Dialer, list *vm.Follower, settings *publication.Follower, k *lease.Keeper) *placement.Leader {
	return placement.New(placement.Config{DataCentre: cfg.DataCentre, Lease: k, Peers: d, VMs: list, Settings: settings, Log: log})
}

// weightsView shows the progress of the rollouts that this entry leads.
func weightsView(l *placement.Leader) operator.View {
	return operator.View{Name: "weights", Get: func(string) any { return l.Rollouts() }}
}

func provideEntry(cfg setting.Process, log logr.Logger, d *peer.Dialer, list *vm.Follower, settings *publication.Follower, feed *notice.Feed, l *placement.Leader, r *recorder.Recorder, registry *prometheus.Registry) *entry.Entry {
	e := entry.New(entry.Config{
		VM:          cfg.VM,
		DataCentre:  cfg.DataCentre,
		Site:        cfg.Site,
		MaxRequests: cfg.Limits.MaxRequests,
		Settings:    settings,
		Peers:       d,
		VMs:         list,
		ReportCrash: feed.Post,
		Views:       []operator.View{explainView(r), weightsView(l)},
		Log:         log,
	})
	registry.MustRegister(e.Collectors()...)

	return e
}

// explainView shows the lines that this process logged about a request.
func explainView(r *recorder.Recorder) operator.View {
	return operator.View{Name: "explain", Get: func(q string) any { return r.Lines(q) }}
}

func provideEntryOperators(cfg setting.Process, registry *prometheus.Registry, clients *intake.Ledger, e *entry.Entry) (*operator.Server, error) {
	return operator.Listen(operator.Config{
		Port:     operatorPort(clients),
		Addr:     cfg.Listen.Operators,
		Registry: registry,
		Checks:   []operator.Check{{Name: "entry", Ready: e.Ready}},
		Views:    e.Views(),
	})
}

// provideDeduplicator returns the owner of the target's idempotency keys; nil beside an
// engine, whose runs may be repeated.
func provideDeduplicator(cfg setting.Process, log logr.Logger, j *journal.Client, list *vm.Follower) *claim.Deduplicator {
	if cfg.Target.Kind != setting.PlainService {
		return nil
	}

	return claim.NewDeduplicator(claim.DeduplicatorConfig{
		Log:     j,
		Service: cfg.Target.Service,
		VM:      cfg.VM,
		VMList:  func() claim.VMList { return serviceVMs(list.List(), cfg.Target.Service) },
		Logger:  log,
	})
}

// serviceVMs returns the VMs of a service in the platform's list.
func serviceVMs(l *vm.List, service string) claim.VMList {
	f := claim.VMList{Version: l.Version(), Leaving: map[string]bool{}}

	for _, m := range l.All() {
		if m.Service != service {
			continue
		}

		f.VMs = append(f.VMs, m.Name)

		if m.State == vm.Leaving {
			f.Leaving[m.Name] = true
		}
	}

	return f
}

func provideSideViews(r *recorder.Recorder, f *publication.Follower) []operator.View {
	return []operator.View{explainView(r), {Name: "settings", Get: func(string) any {
		if p := f.Current(); p != nil {
			return operator.SettingsDocument{Version: p.Version()}
		}

		return operator.SettingsDocument{}
	}}}
}

func provideSide(cfg setting.Process, log logr.Logger, d *peer.Dialer, list *vm.Follower, settings *publication.Follower, feed *notice.Feed, deduplicator *claim.Deduplicator, views []operator.View) (*side.Side, error) {
	u, err := url.Parse(cfg.Target.URL)
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "target URL %q is invalid", cfg.Target.URL)
	}

	c := side.Config{
		VM:           cfg.VM,
		DataCentre:   cfg.DataCentre,
		Service:      cfg.Target.Service,
		Plain:        cfg.Target.Kind == setting.PlainService,
		Address:      u.Host,
		DrainTimeout: time.Duration(cfg.Limits.DrainTimeout),
		Settings:     settings,
		PostCrash:    feed.Post,
		Peers:        d,
		VMs:          list,
		Views:        views,
		Log:          log,
	}

	if deduplicator != nil {
		c.Claims = deduplicator
	}

	return side.New(c), nil
}

func provideSideOperators(cfg setting.Process, registry *prometheus.Registry, clients *intake.Ledger, s *side.Side, views []operator.View) (*operator.Server, error) {
	return operator.Listen(operator.Config{
		Port:     operatorPort(clients),
		Addr:     cfg.Listen.Operators,
		Registry: registry,
		Checks:   []operator.Check{{Name: "target", Ready: s.Ready}},
		Views:    views,
	})
}
