package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Parameters of the case of requests with large bodies.
const (
	memoryLimit     = 284 << 20 // limits.memoryMb
	memoryInterval  = 10 * time.Millisecond
	uploadsPerS     = 8               // at one host: the site's 30 requests a second, times the burst of 1.7, over six hosts
	uploadTime      = 8 * time.Second // half a megabyte a second from each caller
	uploadTraffic   = 16 * time.Second
	largeBody       = 4 << 20 // limits.maxBodyBytes
	usualBody       = 17000   // the largest body of the site's usual traffic
	uploadChunks    = 80
	keptCallers     = 12
	keptWork        = 400 * time.Millisecond
	maxClosedKept   = 3 // requests of kept channels that the rule allows to be closed without an answer
	largeWarmUpTime = 3 * time.Second
)

// runLargeBodies sends requests with bodies as large as the desired state allows to one host, while other callers use kept
// channels there. The process is killed if it exceeds its memory, as the platform does. Without the disruption the bodies are
// of the usual size.
func runLargeBodies(i *installation) (verdict, error) {
	i.configure([]route{
		{
			Name: "r-letter", Prefix: "/letter/", Kind: "streaming", TimeoutMs: 25000, LatencyTargetMs: 2500, GapTargetMs: 300, Priority: 1,
			Service: "link-scribe", MaxAttempts: 1, SessionAffinity: true,
		},
		{Name: "r-check", Prefix: "/check/", Kind: "safe", TimeoutMs: 3000, LatencyTargetMs: 500, Priority: 2, Service: "order-desk", MaxAttempts: 2},
	}, []string{"m0"}, "order-desk")
	for _, zone := range []string{"sialkot-a", "sialkot-b", "gujranwala"} {
		if _, err := i.addHost(zone); err != nil {
			return verdict{}, err
		}
		if err := i.addBackend(&backendServer{service: "order-desk", zone: zone, software: "v1", slots: 64, work: keptWork}); err != nil {
			return verdict{}, err
		}
	}
	if err := i.addScribes("v1", 3); err != nil {
		return verdict{}, err
	}
	if err := i.startHosts(); err != nil {
		return verdict{}, err
	}
	time.Sleep(largeWarmUpTime)
	host := i.hosts[0]
	peak := &atomic.Int64{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { i.limitMemory(host, peak, stop) })
	closed := &atomic.Int64{}
	for range keptCallers {
		callers.Go(func() { i.keepChannel(host, closed, stop) })
	}
	served, sent := i.upload(host)
	close(stop)
	callers.Wait()
	detail := fmt.Sprintf("the process took %d MB at most, %d MB allowed; %d requests of kept channels were closed without an answer after they had been passed on, %d allowed; %d of %d uploads served",
		peak.Load()>>20, memoryLimit>>20, closed.Load(), maxClosedKept, served, sent)
	return verdict{broken: closed.Load() > maxClosedKept, detail: detail}, nil
}

// limitMemory kills the process of a host once its resident memory exceeds memoryLimit.
func (i *installation) limitMemory(h *entryHost, peak *atomic.Int64, stop chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		resident, err := residentMemory(h.process.Process.Pid)
		if err != nil {
			continue
		}
		peak.Store(max(peak.Load(), resident))
		if resident > memoryLimit {
			i.log.printf("%s is killed: it takes %d MB", h.name, resident>>20)
			h.signal(syscall.SIGKILL)
			return
		}
	}
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0, io.ErrUnexpectedEOF
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// keepChannel sends one request after another on one channel until stop is closed. It counts a request whose channel closes
// without an answer, unless it is the first one of the channel.
func (i *installation) keepChannel(h *entryHost, closed *atomic.Int64, stop chan struct{}) {
	conn, err := net.Dial("tcp", h.callers.address)
	if err != nil {
		i.log.printf("no channel: %v", err)
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		id := newRequestID()
		i.log.printf("sent id=%s on a kept channel", id)
		_, err := fmt.Fprintf(conn, "GET /check/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 3000\r\n\r\n", routeHost, id)
		if err == nil {
			err = readAnswer(reader)
		}
		if err == nil {
			continue
		}
		i.log.printf("channel closed id=%s: %v", id, err)
		if n > 0 && i.hasArrived(id) {
			closed.Add(1)
		}
		return
	}
}

func readAnswer(reader *bufio.Reader) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (i *installation) hasArrived(id string) bool {
	for _, a := range i.log.list() {
		if a.id == id {
			return true
		}
	}
	return false
}

// slowBody is a body that takes uploadTime.
type slowBody struct {
	left int
	size int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), b.left, max(1, b.size/uploadChunks))
	b.left -= n
	time.Sleep(uploadTime * time.Duration(n) / time.Duration(b.size))
	return n, nil
}

// upload sends the requests with bodies to a host. It returns how many were served, of how many.
func (i *installation) upload(h *entryHost) (served, sent int64) {
	size := usualBody
	if i.trouble {
		size = largeBody
	}
	var callers sync.WaitGroup
	var complete atomic.Int64
	for n := 0; n < uploadsPerS*int(uploadTraffic.Seconds()); n++ {
		callers.Go(func() {
			if i.uploadOne(h, n, size) {
				complete.Add(1)
			}
		})
		sent++
		time.Sleep(time.Second / uploadsPerS)
	}
	callers.Wait()
	return complete.Load(), sent
}

func (i *installation) uploadOne(h *entryHost, n, size int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, WriteBufferSize: 64 << 10}
	body := &slowBody{left: size, size: size}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers.address+"/letter/2f", io.NopCloser(body))
	if err != nil {
		return false
	}
	outgoing.Host, outgoing.ContentLength = routeHost, int64(size)
	outgoing.Header.Set("Request-Id", newRequestID())
	outgoing.Header.Set("Request-Deadline", "25000")
	outgoing.Header.Set("Model", "m0")
	outgoing.Header.Set("Token-Count", "1090,40")
	outgoing.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:350,91bd3f01:140,%08x:600", 0x40000000+n))
	i.log.printf("upload id=%s of %d bytes", outgoing.Header.Get("Request-Id"), size)
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		i.log.printf("upload failed id=%s: %v", outgoing.Header.Get("Request-Id"), err)
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
