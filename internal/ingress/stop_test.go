package ingress

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"
)

// slowListener is a listener of a process that waits for the processor: before it hands a connection on, and before each write.
type slowListener struct {
	*net.TCPListener
	accepted   chan<- struct{} // a connection was taken from the accept queue
	handOn     <-chan struct{}
	writeDelay time.Duration
}

// Accept returns the next connection, late.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- struct{}{}
	<-l.handOn
	return slowConn{c, l.writeDelay}, nil
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

// Write writes, late.
func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(b)
}

// startStopping starts to serve a slow listener and stops when the returned function is called, which waits for the end.
func startStopping(t *testing.T, writeDelay time.Duration, h http.HandlerFunc) (address string, accepted chan struct{}, handOn chan struct{}, stop func()) {
	t.Helper()
	i, _ := newServingIngress(t, headerProtocol{func() {}}, h)
	i.options.GracePeriod = 2 * time.Second
	n, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted, handOn = make(chan struct{}, 1), make(chan struct{})
	l := newClientListener(slowListener{n.(*net.TCPListener), accepted, handOn, writeDelay}, &i.snapshot)
	s := &http.Server{Handler: i.countActive(i.handler), ConnContext: l.connContext, ConnState: l.connState, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }()
	return n.Addr().String(), accepted, handOn, func() { i.stopServing(s, l) }
}

const stopTestRequest = "GET /call/x HTTP/1.1\r\nHost: host\r\nId: stop\r\n\r\n"

// expectStatus reads a response and checks its status.
func expectStatus(t *testing.T, r *bufio.Reader, want int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != want {
		t.Errorf("status %d, want %d", resp.StatusCode, want)
	}
}

// TestStopWaitsForLastAnswers guards against a stop that closes connections when all handlers have returned, but before net/http has
// written their answers.
func TestStopWaitsForLastAnswers(t *testing.T) {
	arrived := make(chan struct{}, 1)
	a, _, handOn, stop := startStopping(t, lastAnswersTime/2, func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
	})
	close(handOn)
	c, r := dialServer(t, a)
	if _, err := c.Write([]byte(stopTestRequest)); err != nil {
		t.Fatal(err)
	}
	<-arrived
	stop()
	expectStatus(t, r, http.StatusBadGateway)
}

// TestStopWaitsForAcceptedConn guards against a stop that finds no open connection while one has been accepted but not yet counted.
func TestStopWaitsForAcceptedConn(t *testing.T) {
	a, accepted, handOn, stop := startStopping(t, 0, func(http.ResponseWriter, *http.Request) {})
	c, r := dialServer(t, a)
	if _, err := c.Write([]byte(stopTestRequest)); err != nil {
		t.Fatal(err)
	}
	<-accepted
	go func() {
		time.Sleep(time.Second + 2*closeIdleInterval) // the instance listens for half of the grace period
		close(handOn)
	}()
	stop()
	expectStatus(t, r, http.StatusServiceUnavailable) // its answer may outlast the grace period
}
