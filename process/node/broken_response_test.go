package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopsill/hyssopsill/process/gate"
	"github.com/hyssopsill/hyssopsill/request/attempt"
)

// closeDelimitedProfile is a profile in which the end of a connection may end a response.
var closeDelimitedProfile = func() attempt.HTTPProfile {
	profile := attempt.DefaultHTTPProfile
	profile.CloseDelimited = true
	return profile
}()

// closingTarget reads the head of a request, responds without a length and closes the
// connection, as the query of the request says.
type closingTarget struct {
	orders   atomic.Int32
	received atomic.Value // chan struct{}, closed when the caller has the response to the current order
}

func (c *closingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if r.Method == http.MethodPost { // not a probe
		c.orders.Add(1)
	}
	received := c.received.Load().(chan struct{})
	query := r.URL.Query()
	size, _ := strconv.Atoi(query.Get("size"))         // 0 for a probe
	delay, _ := time.ParseDuration(query.Get("delay")) // as above
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n\r\n%s", query.Get("status"), strings.Repeat("x", size))
	tcp := conn.(*net.TCPConn)
	switch query.Get("end") {
	case "reset":
		time.Sleep(delay)
		_ = tcp.SetLinger(0)
	case "body unread":
		_ = tcp.CloseWrite()
		time.Sleep(delay)
		if size > bytesInBuffers { // a reset would take what was not sent yet from the gate
			<-received
		}
	case "body read":
		_ = tcp.CloseWrite()
		time.Sleep(delay)
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// bytesInBuffers is the size of a response that fits into the buffers of a connection.
const bytesInBuffers = 20_000

// checkClosingTarget sends bodies of some sizes to a target that responds before it has read
// them and then ends the connection. Each caller has to get the whole response, or where the
// connection is reset, none that is complete.
func checkClosingTarget(t *testing.T, status int, end string) {
	t.Parallel()
	const tries = 3
	target := &closingTarget{}
	target.received.Store(make(chan struct{}))
	node := startConnNode(t, closeDelimitedProfile, target.serve)
	for _, size := range []int{0, bytesInBuffers, 900_000} {
		for _, body := range []int{0, 100_000, 3 << 20} {
			for _, delay := range []string{"0s", "3ms", "60ms"} {
				path := "/orders?" + url.Values{"status": {strconv.Itoa(status)}, "end": {end}, "size": {strconv.Itoa(size)}, "delay": {delay}}.Encode()
				for range tries {
					before, received := target.orders.Load(), make(chan struct{})
					target.received.Store(received)
					resp, err := http.Post("http://"+node.Addresses().Caller+path, "", &pacedBody{rest: make([]byte, body), first: body / 2})
					var n int64
					if err == nil {
						n, err = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					}
					close(received)
					complete := err == nil && resp.StatusCode == status
					if want := end != "reset"; complete != want || (want && n != int64(size)) {
						t.Errorf("%s, body of %d bytes: the caller got %d bytes as a complete response: %t, error %v", path, body, n, complete, err)
					}
					if ran := target.orders.Load() - before; ran > 1 {
						t.Errorf("%s, body of %d bytes: the target got %d requests", path, body, ran)
					}
				}
			}
		}
	}
}

// Guards against a response without a length that is reset while the request body is on its
// way, and of which the caller gets a part as a complete response.
func TestResponseResetDuringUploadIsNotComplete(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusCreated} {
		t.Run(strconv.Itoa(status), func(t *testing.T) { checkClosingTarget(t, status, "reset") })
	}
}

// Guards against a response without a length that ends in order while the request body is on
// its way, and that is taken for a broken one.
func TestResponseThatEndsDuringUploadIsComplete(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusRequestEntityTooLarge} {
		for _, end := range []string{"body unread", "body read"} {
			t.Run(fmt.Sprint(status, " ", end), func(t *testing.T) { checkClosingTarget(t, status, end) })
		}
	}
}

// Guards against a response with a blank in a field name that the caller gets, or that is
// taken for the health of its target.
func TestBlankInFieldNameFailsTheAttempt(t *testing.T) {
	for _, name := range []string{"X-Note ", "X Note", "Content-Length ", "Transfer Encoding"} {
		for method, path := range map[string]string{http.MethodGet: "/kits", http.MethodPost: "/orders"} {
			t.Run(method+" "+name, func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int32
				node := startConnNode(t, closeDelimitedProfile, func(conn net.Conn) {
					defer func() { _ = conn.Close() }()
					if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						if r.URL.Path == path { // not a probe
							requests.Add(1)
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+name+": 4\r\n\r\nbody") // fails only if the gate is gone
					}
				})
				r, err := http.NewRequest(method, "http://"+node.Addresses().Caller+path, nil)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusBadGateway {
					t.Errorf("the caller got %s with body %q, %v", resp.Status, body, err)
				}
				if n := requests.Load(); n == 0 || method == http.MethodPost && n != 1 {
					t.Errorf("the target got %d requests", n)
				}
				probe, err := http.NewRequest(http.MethodGet, "http://"+node.Addresses().PeerData+"/v1/probe?target=t1", nil)
				if err != nil {
					t.Fatal(err)
				}
				probe.Header.Set(attempt.HeaderFleet, node.options.Settings.FleetToken)
				if resp, err = http.DefaultClient.Do(probe); err != nil {
					t.Fatal(err)
				}
				body, _ = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				var result gate.ProbeResult
				if err := json.Unmarshal(body, &result); err != nil || result.Status != 0 || result.Error == "" {
					t.Errorf("the probe got %s, %v", body, err)
				}
			})
		}
	}
}

// Guards against a part of a response that is stored for an order key and repeated as the
// response to the order.
func TestBrokenResponseIsNotStoredForOrderKey(t *testing.T) {
	const orders = 12
	for order := range orders {
		t.Run(strconv.Itoa(order), func(t *testing.T) {
			t.Parallel()
			target := &closingTarget{}
			target.received.Store(make(chan struct{}))
			node := startConnNode(t, closeDelimitedProfile, target.serve)
			send := func(body int) (status int) {
				r, err := http.NewRequest(http.MethodPost, "http://"+node.Addresses().Caller+"/orders?end=reset&status=200&size=2000&delay=3ms", &pacedBody{rest: make([]byte, body), first: body / 2})
				if err != nil {
					t.Fatal(err)
				}
				r.Header.Set(attempt.HeaderIdempotencyKey, "key")
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					return 0
				}
				_ = resp.Body.Close()
				return resp.StatusCode
			}
			if first, again := send(3<<20), send(0); first == http.StatusOK || again == http.StatusOK {
				t.Errorf("the order got status %d, and sent again %d", first, again)
			}
			if n := target.orders.Load(); n != 1 {
				t.Errorf("the order ran %d times", n)
			}
		})
	}
}
