package roundtrip_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
)

// BenchmarkKeptConnections opens connections with as many concurrent requests. It
// reports the heap and stacks of both ends per idle connection.
func BenchmarkKeptConnections(b *testing.B) {
	for _, n := range []int{50, 150, 400} {
		b.Run(fmt.Sprintf("connections=%d", n), func(b *testing.B) {
			for b.Loop() {
				release := make(chan struct{})
				var arrived sync.WaitGroup
				arrived.Add(n)
				server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					arrived.Done()
					<-release
				}))
				client := roundtrip.New(roundtrip.Options{MaxIdle: n})
				bytesBefore := memoryInUse()
				var finished sync.WaitGroup
				for range n {
					finished.Go(func() {
						resp, err := client.Do(context.Background(), address(server), newGet("/"))
						if err != nil {
							b.Error(err)
							return
						}
						_, _ = io.Copy(io.Discard, resp.Body)
						_ = resp.Body.Close()
					})
				}
				arrived.Wait()
				close(release)
				finished.Wait()
				b.ReportMetric(float64(memoryInUse()-bytesBefore)/float64(n), "B/connection")
				client.Close()
				server.Close()
			}
		})
	}
}

func memoryInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees the pooled buffers; the first one only moves them to the victim cache
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
