package model

// ModelKey identifies one version of a model, the unit that is loaded and counted.
type ModelKey struct {
	Model   string
	Version string
}

// String returns "model@version".
func (k ModelKey) String() string { return k.Model + "@" + k.Version }

// ReservationState is the state of a Reservation.
type ReservationState string

const (
	// ReservationStanding is memory reserved in advance, for a load while the store is unavailable.
	ReservationStanding ReservationState = "Standing"
	// ReservationLoading means that a load order has no known outcome yet.
	ReservationLoading ReservationState = "Loading"
	// ReservationLoaded means that the engine lists the model version as loaded.
	ReservationLoaded ReservationState = "Loaded"
	// ReservationUnloading means that an unload order has no known outcome yet.
	ReservationUnloading ReservationState = "Unloading"
)

// Reservation is memory of a backend server that is reserved for one model version.
type Reservation struct {
	Key      ModelKey
	Bytes    int64
	State    ReservationState
	OrderID  string      // the latest order for this reservation
	Issuer   Incarnation // the entry host that may still send that order, empty once it is certain that it will not
	Term     int64       // fencing token of the order
	SlotID   int         // slot of the model record that is bound to this reservation
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
	Owner          Incarnation // empty if the backend server has no owner
	OwnerName      string
	OwnerAddress   string
	Term           int64       // fencing token, increased by each new owner
	EngineIdentity Incarnation // the engine process that the record describes
	Reservations   []Reservation
	Nonce          string // unique to each write
}

// SlotState is the state of a Slot.
type SlotState string

const (
	SlotFree     SlotState = "Free"
	SlotAllotted SlotState = "Allotted" // bound to a standing reservation of a backend server, until the replica is loaded
	SlotBound    SlotState = "Bound"    // bound to a replica that a backend server loads or has loaded
)

// Slot is the right to load one replica of a model version. The slots of a model version limit its replicas
// to the decided number.
type Slot struct {
	ID      int
	State   SlotState
	Zone    string
	Backend string
	Term    int64  // fencing token of the owner that bound the slot
	OrderID string // the order to load the replica
}

// Source is the number of replicas of a model version that one configuration record of the operators sets.
type Source struct {
	Record     string
	Generation int64 // Record.WriteOrder of the write that set it
	Replicas   int
}

// ModelRecord is the value of the key model/<model>@<version> in the platform's store.
type ModelRecord struct {
	Key     ModelKey
	Sources []Source // sorted by Record; merged by the highest Generation of each
	Slots   []Slot
	Nonce   string // unique to each write
}

// DecidedReplicas returns the decided number of replicas, which is the largest number among the sources.
func (r ModelRecord) DecidedReplicas() int {
	decided := 0
	for _, s := range r.Sources {
		decided = max(decided, s.Replicas)
	}
	return decided
}

// UsedSlots returns the number of slots that are bound or allotted.
func (r ModelRecord) UsedSlots() int {
	used := 0
	for _, s := range r.Slots {
		if s.State != SlotFree {
			used++
		}
	}
	return used
}
