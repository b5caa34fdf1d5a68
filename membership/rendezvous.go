package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"citronspread/model"
)

// Assignment is a backend server and the entry host that should own it.
type Assignment struct {
	Backend string
	Owner   string
}

// Leader returns the leader of key: the host with the highest rendezvous score. It returns false if there are no hosts.
func Leader(hosts []model.Peer, key string) (model.Peer, bool) {
	if len(hosts) == 0 {
		return model.Peer{}, false
	}
	return slices.MaxFunc(hosts, func(a, b model.Peer) int {
		return cmp.Or(cmp.Compare(score(a.Name, key), score(b.Name, key)), strings.Compare(a.Name, b.Name))
	}), true
}

// Ranked returns the hosts in descending order of their rendezvous scores for key.
func Ranked(hosts []model.Peer, key string) []model.Peer {
	type scored struct {
		host  int
		score uint64
	}
	order := make([]scored, len(hosts))
	for i := range hosts {
		order[i] = scored{host: i, score: score(hosts[i].Name, key)}
	}
	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(hosts[a.host].Name, hosts[b.host].Name))
	})
	ranked := make([]model.Peer, len(hosts))
	for i, s := range order {
		ranked[i] = hosts[s.host]
	}
	return ranked
}

// Rank returns how many hosts precede the one with the name in Ranked.
func Rank(hosts []model.Peer, name, key string) int {
	own, rank := score(name, key), 0
	for _, h := range hosts {
		if s := score(h.Name, key); s > own || s == own && h.Name < name {
			rank++
		}
	}
	return rank
}

// Assign assigns the backend servers to the hosts by rendezvous hashing. No host gets more than an even share, rounded
// up.
func Assign(hosts []model.Peer, backends []string) []Assignment {
	if len(hosts) == 0 {
		return nil
	}
	bound := (len(backends) + len(hosts) - 1) / len(hosts)
	owned := make(map[string]int, len(hosts))
	sorted := slices.Sorted(slices.Values(backends))
	assignments := make([]Assignment, 0, len(sorted))
	for _, backend := range sorted {
		owner := firstBelowBound(Ranked(hosts, backend), owned, bound)
		owned[owner]++
		assignments = append(assignments, Assignment{Backend: backend, Owner: owner})
	}
	return assignments
}

// firstBelowBound returns the highest ranked host that owns fewer than bound backend servers.
func firstBelowBound(ranked []model.Peer, owned map[string]int, bound int) string {
	for _, h := range ranked {
		if owned[h.Name] < bound {
			return h.Name
		}
	}
	return ranked[0].Name
}

func score(host, key string) uint64 {
	return xxhash.Sum64String(host + "\x00" + key)
}
