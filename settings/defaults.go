package settings

import "time"

// Defaults returns settings with the default values of the optional keys. Required settings are left empty.
func Defaults(deployment string) Settings {
	return Settings{
		Deployment: deployment,
		LogLevel:   "Info",
		Deadlines: Deadlines{
			Request:        30 * time.Second,
			LongestRequest: time.Hour,
			Header:         5 * time.Second,
			Body:           30 * time.Second,
			StoreCall:      time.Second,
			Connect:        500 * time.Millisecond,
			Order:          5 * time.Second,
			Shutdown:       time.Hour,
		},
		Limits: Limits{
			BodyBytes:   4_000_000,
			HeaderBytes: 64_000,
			QueueLength: 1_000,
			Connections: 10_000,
		},
		WeightStore:          WeightStore{ParallelAdapters: 32},
		KeepAlive:            defaultKeepAlive(deployment),
		StandingReservations: 1,
	}
}

// defaultKeepAlive returns the weights that the deployment's name sets, and the default limits. Qureshi prefers to save
// idle accelerator time, Torwerk to avoid cold starts.
func defaultKeepAlive(deployment string) KeepAlive {
	k := KeepAlive{ColdStartWeight: 1, IdleWeight: 1, Shortest: 10 * time.Second, Longest: 30 * time.Minute, FreeLoads: 1}
	switch deployment {
	case DeploymentQureshi:
		k.IdleWeight = 3
	case DeploymentTorwerk:
		k.ColdStartWeight = 3
	}
	return k
}
