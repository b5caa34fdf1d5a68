package faults

import (
	"context"
	"io"
	"net"
	"sync"

	"citronspread/model"

	"github.com/cockroachdb/errors"
)

const linkBufferBytes = 32 << 10

// links forward the connections between entry hosts of different zones, so that a zone can be partitioned.
type links struct {
	all []*link
}

// link forwards connections from the entry hosts of a zone to one entry host of another zone.
type link struct {
	fromZone string
	toZone   string
	host     string
	target   string
	listener net.Listener

	mu         sync.Mutex
	partitions int           // active partitions that the link crosses
	open       chan struct{} // closed while there are none
}

// newLinks opens a link from each zone to each entry host of the other zones. They close when ctx ends.
func newLinks(ctx context.Context, zones []string, hosts []*entryHost) (*links, error) {
	l := &links{}
	for _, zone := range zones {
		for _, h := range hosts {
			if h.zone == zone {
				continue
			}
			opened, err := openLink(ctx, zone, h)
			if err != nil {
				return nil, err
			}
			l.all = append(l.all, opened)
		}
	}
	return l, nil
}

func openLink(ctx context.Context, fromZone string, h *entryHost) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "faults: listen for a link between zones")
	}
	l := &link{fromZone: fromZone, toZone: h.zone, host: h.name, target: h.peerAddress, listener: listener, open: make(chan struct{})}
	close(l.open)
	context.AfterFunc(ctx, func() { listener.Close() })
	go l.accept(ctx)
	return l, nil
}

// HostsFor returns the host list for a zone, in which the entry hosts of other zones have the addresses of the links.
func (l *links) HostsFor(zone string, hosts []model.Host) []model.Host {
	viewed := make([]model.Host, 0, len(hosts))
	for _, h := range hosts {
		for _, k := range l.all {
			if k.fromZone == zone && k.host == h.Name {
				h.Address = k.listener.Addr().String()
			}
		}
		viewed = append(viewed, h)
	}
	return viewed
}

// setPartitioned starts or ends a partition of a zone: it blocks or unblocks all links from and to it.
func (l *links) setPartitioned(zone string, on bool) {
	for _, k := range l.all {
		if k.fromZone == zone || k.toZone == zone {
			k.setPartitioned(on)
		}
	}
}

// setPartitioned blocks or unblocks the link. It counts the partitions, because both ends of a link may be partitioned at
// once.
func (l *link) setPartitioned(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on {
		l.partitions--
		if l.partitions == 0 {
			close(l.open)
		}
		return
	}
	if l.partitions == 0 {
		l.open = make(chan struct{})
	}
	l.partitions++
}

// wait waits until the link is not blocked. It returns false if ctx ends first.
func (l *link) wait(ctx context.Context) bool {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-open:
		return true
	}
}

func (l *link) accept(ctx context.Context) {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(ctx, conn)
	}
}

func (l *link) forward(ctx context.Context, near net.Conn) {
	defer near.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !l.wait(ctx) {
		return
	}
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	stop := context.AfterFunc(ctx, func() {
		near.Close()
		far.Close()
	})
	defer stop()
	go func() {
		defer cancel()
		l.copy(ctx, near, far)
	}()
	l.copy(ctx, far, near)
}

// copy forwards the data that it reads, and delays it while the link is blocked.
func (l *link) copy(ctx context.Context, to io.Writer, from io.Reader) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil || !l.wait(ctx) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
