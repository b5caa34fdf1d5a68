package entryhost

import (
	"time"

	"citronspread/model"
	"citronspread/placement"
)

// Policy holds the settings for the decisions of the control thread.
type Policy struct {
	Seeds                   []string // configured peer addresses of the zone
	KeepAlive               placement.Weights
	FixedKeepAlive          time.Duration // when positive, replaces the time estimated for each model
	MinKeepAlive            time.Duration
	MaxKeepAlive            time.Duration
	FreeLoads               int     // loads that a backend server keeps memory free for
	LoadsPerSecond          float64 // of the weight store, for all zones together
	MaxParallelLoads        int     // parallel loads that the weight store serves at full speed, for all zones together
	MaxParallelAdapterLoads int     // parallel adapter loads that the weight store serves at full speed, for all zones together
	StandingReservations    int     // on each backend server
}

func (p Policy) seedPeers() []model.Peer {
	peers := make([]model.Peer, 0, len(p.Seeds))
	for _, address := range p.Seeds {
		peers = append(peers, model.Peer{Name: address, Address: address})
	}
	return peers
}
