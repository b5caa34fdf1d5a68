package memory

// Parts of the memory of a process. Measured without callers, a process takes 15 to 40 MB, depending on the size of the fleet.
const (
	processBytes = 40_000_000 // for the process without callers
	// accountShare is the part of the rest that callers may use. The garbage collector lets the heap grow by 40% between two
	// collections.
	accountShare = 0.7
	// minAccountShare is the part of all memory that callers may use at least.
	minAccountShare = 0.1
	// codeBytes is the resident memory of a process that the Go runtime does not count, mostly the code of the program.
	codeBytes = 16_000_000
	// heapShare is the part of the rest above which the garbage collector runs as often as needed. What is left is for socket
	// buffers.
	heapShare = 0.85
	// idleShare is the part of the account that idle connections to backend servers may use.
	idleShare = 1.0 / 16
	// outgoingBytes is the memory of an idle connection to a backend server.
	outgoingBytes = 32 << 10
	// minOwnDescriptors and ownDescriptorShare are the descriptors of a process that are kept for its connections to the store
	// and to other hosts.
	minOwnDescriptors  = 32
	ownDescriptorShare = 0.25
	// backlogShare is the part of the memory of a process that connections may take which it has not accepted yet, and
	// unacceptedBytes what each may receive: the default of tcp_rmem. Outside of bursts hardly any wait.
	backlogShare    = 1.0 / 16
	unacceptedBytes = 128 << 10
	minBacklog      = 32
	// minIdle is the least number of idle connections to backend servers that are kept.
	minIdle = 4
)

// Plan divides the memory and the descriptors of a process.
type Plan struct {
	AccountBytes int64 // of all callers, for Account.MaxBytes
	Descriptors  int   // of callers and to backend servers, for Account.MaxDescriptors
	HeapBytes    int64 // for debug.SetMemoryLimit
	MaxIdle      int   // idle connections to backend servers
	Backlog      int   // connections of callers that are not accepted yet
}

// NewPlan returns how a process with limits divides its memory and descriptors. A limit of 0 is none, and so are its results.
func NewPlan(memoryBytes int64, maxDescriptors int) Plan {
	var p Plan
	if memoryBytes > 0 {
		callers := max(accountShare*float64(memoryBytes-processBytes), minAccountShare*float64(memoryBytes))
		idle := callers * idleShare
		p.AccountBytes = int64(callers - idle)
		p.HeapBytes = int64(heapShare * max(float64(memoryBytes-codeBytes), callers))
		p.MaxIdle = max(minIdle, int(idle)/outgoingBytes)
		p.Backlog = max(minBacklog, int(backlogShare*float64(memoryBytes))/unacceptedBytes)
	}
	if maxDescriptors > 0 {
		own := max(minOwnDescriptors, int(float64(maxDescriptors)*ownDescriptorShare))
		p.Descriptors = max(1, maxDescriptors-own)
		idle := max(minIdle, p.Descriptors/8)
		if p.MaxIdle == 0 || idle < p.MaxIdle {
			p.MaxIdle = idle
		}
	}
	return p
}
