package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"citronspread/gateway"
	"citronspread/inbound"
	"citronspread/logbuffer"
	"citronspread/memory"
	"citronspread/metrics"
	"citronspread/platform"
	"citronspread/ratelimit"
)

const gatewayHelp = `Run an entry host on the users' platform until SIGTERM or SIGINT, then stop gracefully.

Example: CITRONSPREAD_CONFIG=/etc/citronspread/node.conf citronspread gateway`

const (
	// balancerLag is how long the platform may still send new connections to a host that is not ready. It covers two
	// readiness checks, one second apart.
	balancerLag = 2300 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for the exit of the process.
	stopMargin = 800 * time.Millisecond
	// settingsPollInterval is how often the settings are checked for changes without a SIGHUP.
	settingsPollInterval = time.Second
	// summaryInterval is the time between two summaries of dropped log lines.
	summaryInterval = 5 * time.Second
	// logFlushTimeout limits the wait for the last log lines to be written.
	logFlushTimeout = 200 * time.Millisecond
	// headerTimeout and maxHeaderBytes limit request headers if the settings limit neither memory nor descriptors. They are
	// above any limit that the desired state sets.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// callerIdleTimeout applies in the same case. It is longer than callers may keep a connection idle.
	callerIdleTimeout = 90 * time.Second
)

type gatewayCommand struct {
	settings      string
	level         string
	parallelLoads int
	metricsPort   int
}

func (c *gatewayCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("gateway", gatewayHelp)
	clause.Flag("settings", "Settings file of the platform.").Envar(platform.SettingsVariable).Required().PlaceHolder("FILE").StringVar(&c.settings)
	clause.Flag("log-level", "Minimum level of log lines: Debug, Info, Warn or Error.").Default("Info").StringVar(&c.level)
	clause.Flag("parallel-loads", "Concurrent loads that the weight store serves at full speed.").Default("4").IntVar(&c.parallelLoads)
	clause.Flag("metrics-port", "Port of /metrics and /state on the address of the entry host.").Default("9464").IntVar(&c.metricsPort)
	return clause
}

func (c *gatewayCommand) run(ctx context.Context, out output) error {
	s, err := platform.ReadSettings(c.settings)
	if err != nil {
		return err
	}
	logger, buffer, err := newBufferedLogger(c.level, out.stdout)
	if err != nil {
		return err
	}
	defer buffer.Close(logFlushTimeout)
	logger = logger.With(zap.String("Host", s.Name))
	debug.SetGCPercent(gcPercent)
	store := platform.NewStore(s.StoreAddress)
	store.Log, store.SkipPrefix = logger, gateway.StreamPrefix
	host := newGatewayHost(s, store, logger, c.parallelLoads)
	host.Metrics.AddGauge("citronspread_store_calls", "Calls to the platform's store since the start.", func() float64 { return float64(store.Calls.Load()) })
	host.Metrics.AddGauge("citronspread_limited_backends", "Backend servers that have stated a limit.", func() float64 { return float64(host.Statements().Limited) })
	host.Metrics.AddGauge("citronspread_leaving_backends", "Backend servers that have stated that they are leaving.", func() float64 { return float64(host.Statements().Leaving) })
	host.Metrics.AddGauge("citronspread_backends_in_back_off", "Backend servers that want no requests of this host for some time.", func() float64 { return float64(host.Statements().InBackOff) })
	host.AddWorkspaceGauges()
	host.Metrics.AddLabelledGauge("citronspread_workspace_counter", "Counters of the workspaces that were served most in the zone, see docs/design/fair-shares.md.", "workspace", host.WorkspaceCounters)
	host.Metrics.AddGauge("citronspread_known_loads", "Backend servers of models whose load is known.", func() float64 { return float64(host.LoadSummary().Known) })
	host.Metrics.AddGauge("citronspread_full_backends", "Backend servers of models that have refused a request for lack of room and where nothing has changed since.", func() float64 { return float64(host.LoadSummary().Full) })
	host.Metrics.AddGauge("citronspread_mean_load", "Mean known load of the backend servers of models, as requests per slot.", func() float64 { return host.LoadSummary().Mean })
	host.Metrics.AddGauge("citronspread_highest_load", "Highest known load of a backend server of models, as requests per slot.", func() float64 { return host.LoadSummary().Highest })
	host.Metrics.AddGauge("citronspread_capped_workspaces", "Workspaces that have a usage cap.", func() float64 { return float64(host.CapState().Capped) })
	host.Metrics.AddGauge("citronspread_cap_tokens_granted", "Tokens, or requests, that caps have allowed to requests of this host since the start.", func() float64 { return float64(host.CapState().Granted) })
	host.Metrics.AddGauge("citronspread_cap_tokens_refused", "Tokens, or requests, that caps have refused to requests of this host since the start.", func() float64 { return float64(host.CapState().Refused) })
	host.Metrics.AddGauge("citronspread_zones_on_own_share", "Workspaces that this host divides for its zone without reaching a pool.", func() float64 { return float64(host.CapState().OwnShares) })
	host.Metrics.AddGauge("citronspread_log_lines_dropped", "Log lines dropped since the start.", func() float64 { return float64(buffer.Dropped()) })
	logger.Info("started", zap.String("Name", s.Name), zap.String("Zone", s.Zone), zap.String("Version", version()), zap.String("Settings", c.settings))
	err = c.runHost(ctx, s, host, logger, buffer)
	logger.Info("stopped", zap.String("Name", s.Name), zap.Strings("StoreCalls", host.Metrics.StoreCalls()), zap.Error(err))
	return err
}

func newGatewayHost(s platform.Settings, store *platform.Store, logger *zap.Logger, parallelLoads int) *gateway.Host {
	host := &gateway.Host{
		Name:          s.Name,
		Zone:          s.Zone,
		PeerAddress:   s.PeerAddress,
		LinkMbps:      s.LinkMbps,
		Store:         store,
		Metrics:       metrics.New(),
		BackendClient: platform.NewControlClient(),
		Decoder: gateway.Decoder{
			ConfigurationKey:    platform.ConfigurationKey,
			ListingPrefix:       platform.ListingPrefix,
			DecodeConfiguration: platform.DecodeConfiguration,
			DecodeListing:       platform.DecodeListing,
			ListingID:           platform.ListingID,
		},
		Log:               logger,
		Now:               gateway.BootTime,
		OwnerChangeDelay:  s.OwnerChangeDelay,
		RetryRatio:        s.RetryRatio,
		RetrySlack:        s.RetrySlack,
		RetryWindow:       s.RetryWindow,
		RetrySlackDelay:   s.RetryWindow,
		WeightLoadWindow:  s.WeightLoadWindow,
		WeightLoadOverage: s.WeightLoadOverage,
		MaxWeightLoads:    parallelLoads,
		CapTolerance:      ratelimit.Tolerance{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack},
	}
	host.Prepare()
	return host
}

// runHost runs the host and its HTTP servers until ctx is cancelled. It then finishes the open requests within the grace
// period.
func (c *gatewayCommand) runHost(ctx context.Context, s platform.Settings, host *gateway.Host, logger *zap.Logger, buffer *logbuffer.Buffer) error {
	ingress := &platform.Ingress{Dispatcher: host.Dispatcher, Transport: platform.NewBackendTransport(), Log: logger, Now: host.Now, Metrics: host.Metrics}
	callers := &http.Server{Handler: ingress, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	var accept func(net.Listener) net.Listener
	if s.MemoryBytes > 0 || s.MaxDescriptors > 0 {
		accept = accountCallers(s, host, ingress, callers, logger)
	}
	readyRouter := chi.NewRouter()
	readyRouter.Get(platform.ReadyPath, platform.ReadyHandler(host.Ready))
	ready := &http.Server{Handler: readyRouter, ReadHeaderTimeout: headerTimeout}

	metricsRouter := chi.NewRouter()
	metricsRouter.Handle("/metrics", host.Metrics.Handler())
	metricsRouter.Get("/state", host.ServeState)

	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	if err := addHTTPServer(&group, s.CallerAddress, callers, accept); err != nil {
		return err
	}
	if err := addHTTPServer(&group, s.ReadyAddress, ready, nil); err != nil {
		return err
	}
	metricsAddress, err := hostPort(s.PeerAddress, c.metricsPort)
	if err != nil {
		return err
	}
	if err := addHTTPServer(&group, metricsAddress, &http.Server{Handler: metricsRouter, ReadHeaderTimeout: headerTimeout}, nil); err != nil {
		return err
	}
	group.Add(func() error { return host.Run(background) }, func(error) { cancel() })
	group.Add(func() error {
		select {
		case <-ctx.Done():
			host.Stop()
			finishRequests(s.GracePeriod-stopMargin, host, ingress, callers, logger)
		case <-background.Done():
		}
		return nil
	}, func(error) { cancel() })
	group.Add(func() error { return summarizeLog(background, buffer, logger) }, func(error) { cancel() })
	group.Add(func() error { return c.watchSettings(background, logger) }, func(error) { cancel() })
	return group.Run()
}

// accountCallers bounds what callers make the process hold by the limits of the settings. It returns the wrapper of the
// listener for callers.
func accountCallers(s platform.Settings, host *gateway.Host, ingress *platform.Ingress, callers *http.Server, logger *zap.Logger) func(net.Listener) net.Listener {
	plan := memory.NewPlan(s.MemoryBytes, s.MaxDescriptors)
	if plan.HeapBytes > 0 {
		debug.SetMemoryLimit(plan.HeapBytes)
	}
	account := &memory.Account{MaxBytes: plan.AccountBytes, MaxDescriptors: plan.Descriptors}
	ingress.Transport = platform.NewAccountedTransport(account, host.Now, plan.MaxIdle)
	addAccountGauges(host.Metrics, account)
	logger.Info("memory for callers", zap.Int64("MemoryBytes", s.MemoryBytes), zap.Int64("AccountBytes", plan.AccountBytes), zap.Int64("HeapBytes", plan.HeapBytes),
		zap.Int("MaxDescriptors", s.MaxDescriptors), zap.Int("Descriptors", plan.Descriptors), zap.Int("MaxIdle", plan.MaxIdle), zap.Int("Backlog", plan.Backlog))
	listener := &inbound.Listener{Account: account, Limits: host.Dispatcher.ConnectionLimits, Log: logger, Now: host.Now}
	listener.Prepare(callers)
	return func(l net.Listener) net.Listener {
		listener.Listener = l
		if err := listener.LimitBacklog(plan.Backlog); err != nil {
			logger.Warn("backlog not limited", zap.Error(err))
		}
		return listener
	}
}

// addAccountGauges adds gauges of what callers make the process hold.
func addAccountGauges(m *metrics.Metrics, account *memory.Account) {
	gauge := func(name, help string, read func(memory.Usage) float64) {
		m.AddGauge(name, help, func() float64 { return read(account.Usage()) })
	}
	for _, kind := range memory.Kinds {
		name := fmt.Sprintf("citronspread_caller_%s_bytes", strings.ToLower(kind.String()))
		gauge(name, fmt.Sprintf("Bytes held for callers: %v.", kind), func(u memory.Usage) float64 { return float64(u.Held[kind]) })
	}
	m.AddGauge("citronspread_caller_limit_bytes", "Bytes that may be held for callers, 0 for no limit.", func() float64 { return float64(account.MaxBytes) })
	gauge("citronspread_caller_connections", "Open connections of callers.", func(u memory.Usage) float64 { return float64(u.Connections) })
	gauge("citronspread_backend_connections", "Open connections to backend servers for callers.", func(u memory.Usage) float64 { return float64(u.Outgoing) })
	gauge("citronspread_callers_refused", "Connections and requests refused for memory or descriptors since the start.", func(u memory.Usage) float64 { return float64(u.Refused) })
	gauge("citronspread_callers_dropped", "Connections closed for memory or descriptors since the start.", func(u memory.Usage) float64 { return float64(u.Dropped) })
}

// addHTTPServer listens on address and adds the server to the group. It listens before the group runs, so that an
// address that is in use is reported at start. accept wraps the listener unless it is nil.
func addHTTPServer(group *run.Group, address string, server *http.Server, accept func(net.Listener) net.Listener) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "cli: listen")
	}
	if accept != nil {
		listener = accept(listener)
	}
	stopped := make(chan struct{})
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "cli: serve")
		}
		<-stopped // a server that was shut down must not end the group, so wait until the group ends
		return nil
	}, func(error) {
		close(stopped)
		_ = server.Close()
	})
	return nil
}

// finishRequests continues to serve until the platform sends no new connections. It then refuses the requests that wait
// for a grant, accepts no new ones and waits until the open requests are finished, at most for timeout in total.
func finishRequests(timeout time.Duration, host *gateway.Host, ingress *platform.Ingress, callers *http.Server, logger *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	time.Sleep(balancerLag)
	host.RefuseWaiting()
	if err := callers.Shutdown(ctx); err != nil {
		logger.Warn("requests cut by the stop", zap.Int64("Open", ingress.OpenRequests()), zap.Error(err))
	}
}

// hostPort returns address with its port replaced.
func hostPort(address string, port int) (string, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", errors.Wrap(err, "cli: address")
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}

// summarizeLog periodically logs the number of dropped log lines until ctx is cancelled.
func summarizeLog(ctx context.Context, buffer *logbuffer.Buffer, logger *zap.Logger) error {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			buffer.LogDropped(logger)
		}
	}
}

// watchSettings logs changes of the settings file. It does not apply them, because the addresses and the zone of a
// running process never change.
func (c *gatewayCommand) watchSettings(ctx context.Context, logger *zap.Logger) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := platform.ReadSettings(c.settings)
	if err != nil {
		logger.Warn("settings could not be read again, keeping those read at start", zap.Error(err))
	}
	for {
		reason := "poll"
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			reason = "SIGHUP"
		case <-ticker.C:
		}
		s, err := platform.ReadSettings(c.settings)
		if err != nil {
			logger.Warn("settings could not be read again, keeping the previous ones", zap.String("Reason", reason), zap.Error(err))
			continue
		}
		if text := fmt.Sprint(s); text != fmt.Sprint(last) || reason == "SIGHUP" {
			logger.Info("settings read again", zap.String("Reason", reason), zap.Bool("Changed", text != fmt.Sprint(last)))
			last = s
		}
	}
}
