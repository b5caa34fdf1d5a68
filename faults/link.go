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

// links carry what entry hosts send to entry hosts of other zones, so that zones can be cut off from each other.
type links struct {
	all []*link
}

// link forwards connections from a zone to an entry host of another zone.
type link struct {
	fromZone string
	toZone   string
	host     string
	target   string
	listener net.Listener

	mu   sync.Mutex
	cuts int
	open chan struct{} // closed while the link is not cut
}

// newLinks opens a link from each zone to each entry host of another zone. They close when ctx ends.
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
		return nil, errors.Wrap(err, "faults: link")
	}
	l := &link{fromZone: fromZone, toZone: h.zone, host: h.name, target: h.peerAddress, listener: listener, open: make(chan struct{})}
	close(l.open)
	context.AfterFunc(ctx, func() { listener.Close() })
	go l.accept(ctx)
	return l, nil
}

// HostsFor replaces the addresses of entry hosts in other zones by those of the links.
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

// cut cuts or joins all links from and to a zone.
func (l *links) cut(zone string, on bool) {
	for _, k := range l.all {
		if k.fromZone == zone || k.toZone == zone {
			k.cut(on)
		}
	}
}

// cut counts the cuts, because both ends of a link may be cut off at once.
func (l *link) cut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on {
		l.cuts--
		if l.cuts == 0 {
			close(l.open)
		}
		return
	}
	if l.cuts == 0 {
		l.open = make(chan struct{})
	}
	l.cuts++
}

// wait waits until the link is not cut and reports whether ctx lasted that long.
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

// copy forwards what it reads, and holds it back while the link is cut.
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
