package model

// ModelKey names one version of a model, the unit that is loaded and counted.
type ModelKey struct {
	Model   string
	Version string
}

// String returns "model@version".
func (k ModelKey) String() string { return k.Model + "@" + k.Version }

// ReservationState is the state of a reservation on a backend server.
type ReservationState string

// Reservation states.
const (
	// ReservationStanding is memory kept for a load during an outage of the store.
	ReservationStanding ReservationState = "Standing"
	// ReservationLoading has a load order that is not resolved.
	ReservationLoading ReservationState = "Loading"
	// ReservationLoaded is shown as loaded by the engine.
	ReservationLoaded ReservationState = "Loaded"
	// ReservationUnloading has an unload order that is not resolved.
	ReservationUnloading ReservationState = "Unloading"
)

// Reservation keeps memory on a backend server for one model version.
type Reservation struct {
	Key      ModelKey
	Bytes    int64
	State    ReservationState
	OrderID  string      // the latest order for this reservation
	Issuer   Incarnation // the entry host that may send that order, empty when its sending has surely ended
	Term     int64       // the term that the order was issued under
	SlotID   int         // the slot of the model record bound to this reservation
	Adapters []string

	IssuerName    string
	IssuerAddress string // peer address of the issuer, IP:port
}

// BackendRecord is the value of the key backend/<name> in the platform's store.
type BackendRecord struct {
	Backend        string
	Zone           string
	MemoryBytes    int64
	ChecksFencing  bool
	Owner          Incarnation // empty when nobody owns it
	OwnerName      string
	OwnerAddress   string
	Term           int64 // fencing number, raised by each owner
	EngineIdentity Incarnation
	Reservations   []Reservation
	Nonce          string // unique for each write
}

// SlotState is the state of a replica slot.
type SlotState string

// Slot states.
const (
	SlotFree     SlotState = "Free"
	SlotAllotted SlotState = "Allotted" // kept for a zone
	SlotBound    SlotState = "Bound"    // bound to a backend server
)

// Slot is the right to hold one replica of a model version.
type Slot struct {
	ID      int
	State   SlotState
	Zone    string
	Backend string
	Term    int64
	OrderID string
}

// Source is what one operators' record decides for a model version.
type Source struct {
	Record     string
	Generation int64 // Record.Order of the write that decides
	Replicas   int
}

// ModelRecord is the value of the key model/<model>@<version> in the platform's store.
type ModelRecord struct {
	Key     ModelKey
	Sources []Source // sorted by Record; merged by the highest Generation of each
	Slots   []Slot
	Nonce   string // unique for each write
}

// Decided returns the decided number of replicas, the largest number among the sources.
func (r ModelRecord) Decided() int {
	decided := 0
	for _, s := range r.Sources {
		decided = max(decided, s.Replicas)
	}
	return decided
}

// Used returns the number of slots that are bound or allotted.
func (r ModelRecord) Used() int {
	used := 0
	for _, s := range r.Slots {
		if s.State != SlotFree {
			used++
		}
	}
	return used
}
