package peer

import (
	"context"
	"time"

	"citronspread/model"
	"citronspread/store"
)

// FleetHandler answers the calls of other entry hosts on the users' platform.
type FleetHandler interface {
	Place(ctx context.Context, request *PlaceRequest) (*PlaceReply, error)
	Offer(ctx context.Context, request *OfferRequest) (*OfferReply, error)
	Hold(ctx context.Context, request *HoldRequest) (*HoldReply, error)
	Use(ctx context.Context, request *UsageRequest) (*Empty, error)
	Suspect(ctx context.Context, request *SuspectRequest) (*Empty, error)
	Follow(ctx context.Context, request *FollowRequest) (*FollowReply, error)
}

var fleetMethods = []methodEntry{
	unary("/Fleet/Place", FleetHandler.Place),
	unary("/Fleet/Offer", FleetHandler.Offer),
	unary("/Fleet/Hold", FleetHandler.Hold),
	unary("/Fleet/Use", FleetHandler.Use),
	unary("/Fleet/Suspect", FleetHandler.Suspect),
	unary("/Fleet/Follow", FleetHandler.Follow),
}

// PlaceRequest asks the lead of a model to have it loaded somewhere.
type PlaceRequest struct {
	Service string
	Model   string
	Zone    string   // of the host whose requests wait
	Exclude []string // backend servers that hold it already and are not enough
	Spread  bool     // nothing waits for it; it is loaded only where that costs no other model its place
}

// PlaceReply tells where the model is or will be.
type PlaceReply struct {
	Backend string // empty when it can't be placed now
	Ready   bool
	Wait    time.Duration // expected time until it is ready
	Reason  string
}

// OfferRequest asks an owner what a load would cost on its backend servers.
type OfferRequest struct {
	Service string
	Model   string
}

// OfferReply holds one offer for each backend server of the owner.
type OfferReply struct {
	Offers []Offer
}

// Offer is the expected time until a model could be used on a backend server.
type Offer struct {
	Backend string
	Wait    time.Duration
	Rate    float64 // requests a second that it got lately
}

// HoldRequest asks the owner of a backend server to load a model or one of its adapters. It is repeated while requests wait.
type HoldRequest struct {
	Backend string
	Model   string
	Adapter string
}

// HoldReply answers a HoldRequest.
type HoldReply struct {
	Ready  bool
	Absent bool          // the model of the adapter is not loaded
	Wait   time.Duration // expected time until it is ready
	Reason string        // why it can't be had, empty otherwise
}

// SuspectRequest tells of a request that was running when a backend server died.
type SuspectRequest struct {
	Suspect model.Suspect
}

// FollowRequest asks a host of the same zone for the changes of the store.
type FollowRequest struct {
	After int64 // revision
	Wait  time.Duration
}

// FollowReply holds the changes of the store.
type FollowReply struct {
	Fresh  bool // the store answered the host a short while ago
	Lost   bool // the changes are not all kept any more
	Change store.Change
}

// Place asks the lead of a model to have it loaded.
func (c *Client) Place(ctx context.Context, address string, request *PlaceRequest) (*PlaceReply, error) {
	return invoke[PlaceReply](ctx, c, address, "/Fleet/Place", request)
}

// Offer asks an owner what a load would cost.
func (c *Client) Offer(ctx context.Context, address string, request *OfferRequest) (*OfferReply, error) {
	return invoke[OfferReply](ctx, c, address, "/Fleet/Offer", request)
}

// Hold asks an owner to load a model or an adapter.
func (c *Client) Hold(ctx context.Context, address string, request *HoldRequest) (*HoldReply, error) {
	return invoke[HoldReply](ctx, c, address, "/Fleet/Hold", request)
}

// Use reports the use of replicas to their owner.
func (c *Client) Use(ctx context.Context, address string, request *UsageRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Fleet/Use", request)
	return err
}

// Suspect passes a suspect on.
func (c *Client) Suspect(ctx context.Context, address string, request *SuspectRequest) error {
	_, err := invoke[Empty](ctx, c, address, "/Fleet/Suspect", request)
	return err
}

// Follow asks a host of the same zone for the changes of the store.
func (c *Client) Follow(ctx context.Context, address string, request *FollowRequest) (*FollowReply, error) {
	return invoke[FollowReply](ctx, c, address, "/Fleet/Follow", request)
}
