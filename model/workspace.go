package model

// Workspace is a customer of a deployment. Its callers authenticate with its keys.
type Workspace struct {
	Name     string
	Keys     []string `json:"-"` // secret: never logged, dumped or sent to other processes
	Priority *int     // goes before the priority of a route, 0 is the most urgent; nil for that of the route
	Cap      UsageCap
}

// String returns the name. It keeps the keys out of formatted text.
func (w Workspace) String() string { return "workspace " + w.Name }

// GoString returns the name, as String does.
func (w Workspace) GoString() string { return w.String() }

// UsageCap limits what a workspace may use over all entry hosts together: in any time t at most PerSecond * t + Burst.
type UsageCap struct {
	PerSecond   float64 // 0 for no limit
	Burst       float64
	Unit        CapUnit
	PlainTokens int // tokens of a request that states none
}

// CapUnit is what a usage cap counts.
type CapUnit string

const (
	CapRequests CapUnit = "Requests"
	CapTokens   CapUnit = "Tokens" // of the prompt and of the longest possible response
)
