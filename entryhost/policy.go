package entryhost

import (
	"time"

	"citronspread/model"
	"citronspread/placement"
)

// Policy holds the settings that the control thread decides by.
type Policy struct {
	Seeds                []string // peer addresses of the zone that are asked first
	KeepAlive            placement.Weights
	FixedKeepAlive       time.Duration // when positive, instead of one chosen for each model
	ShortestKeepAlive    time.Duration
	LongestKeepAlive     time.Duration
	FreeLoads            int     // loads that a backend server has room for
	LoadsPerSecond       float64 // of the weight store, for all zones together
	ParallelLoads        int     // at full speed, for all zones together
	ParallelAdapters     int     // at full speed, for all zones together
	StandingReservations int     // on each backend server
}

func (p Policy) seedPeers() []model.Peer {
	peers := make([]model.Peer, 0, len(p.Seeds))
	for _, address := range p.Seeds {
		peers = append(peers, model.Peer{Name: address, Address: address})
	}
	return peers
}
