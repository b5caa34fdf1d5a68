package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// routeHost is the host that all routes have.
const routeHost = "ficu95.example"

// coldLoadTime is loadTimeS, the duration of a load from the weight store.
const coldLoadTime = 6 * time.Second

// installation is a small deployment: the store, entry hosts and backend servers.
type installation struct {
	log      *record
	store    *metadataStore
	hosts    []*entryHost
	backends []*backendServer
	folder   string
	trouble  bool

	network     string // first two bytes of the loopback addresses of the hosts
	mu          sync.Mutex
	lastBackend int
	version     int64
}

func newInstallation(log *record, trouble bool) (*installation, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	i := &installation{log: log, store: newMetadataStore(), folder: folder, trouble: trouble}
	i.network = fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250)
	return i, nil
}

// addHost prepares an entry host in a zone.
func (i *installation) addHost(zone string) (*entryHost, error) {
	number := len(i.hosts) + 1
	h, err := newEntryHost(i.folder, fmt.Sprintf("front-%s-%d", zone, number), zone, fmt.Sprintf("%s.%d", i.network, number), i.store)
	if err == nil {
		i.hosts = append(i.hosts, h)
	}
	return h, err
}

// startHosts starts all hosts and waits until they are ready.
func (i *installation) startHosts() error {
	for _, h := range i.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range i.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// addBackend starts a backend server.
func (i *installation) addBackend(b *backendServer) error {
	b.store, b.log, b.generator, b.loadTime = i.store, i.log, i.nextBackendID, coldLoadTime
	i.backends = append(i.backends, b)
	return b.start()
}

func (i *installation) nextBackendID() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastBackend++
	return fmt.Sprintf("i-7f3a91%02x", i.lastBackend)
}

// route is a route of the desired state.
type route struct {
	Name            string `json:"name"`
	Hostname        string `json:"hostname"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	LatencyTargetMs int    `json:"latencyTargetMs"`
	GapTargetMs     int    `json:"gapTargetMs,omitempty"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Resumable       bool   `json:"resumable"`
	SessionAffinity bool   `json:"sessionAffinity"`
}

// configure writes a desired state as the operator does. It returns when the store has acknowledged it. The services are
// link-scribe, with the given models, and the plain services.
func (i *installation) configure(routes []route, models []string, plain ...string) time.Time {
	i.version += 3
	declared := []map[string]any{}
	for _, m := range models {
		declared = append(declared, map[string]any{
			"name": m, "weightSize": 72700.0, "loadTimeS": coldLoadTime.Seconds(), "adapters": 0, "adapterMb": 66.0, "warmS": 0.63, "diskLoadS": diskLoadTime.Seconds(),
		})
	}
	services := []map[string]any{}
	if len(models) > 0 {
		services = append(services, map[string]any{
			"name": "link-scribe", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 129023, "models": declared, "weightSize": 230000.0, "adapterSlots": 8, "loadsPerS": 3.1},
		})
	}
	for _, name := range plain {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false})
	}
	for n := range routes {
		routes[n].Hostname = routeHost
	}
	i.store.put("op/config", map[string]any{
		"version": i.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	acknowledged := time.Now()
	i.log.printf("desired state %d acknowledged", i.version)
	return acknowledged
}

// end ends all processes that were started and removes the temporary folder.
func (i *installation) end() {
	for _, h := range i.hosts {
		h.end()
	}
	for _, b := range i.backends {
		b.crash()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(i.folder)
	} else {
		fmt.Println("logs:", i.folder)
	}
}
