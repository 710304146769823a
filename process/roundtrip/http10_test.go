package roundtrip_test

import (
	"io"
	"testing"

	"github.com/hyssopsill/hyssopsill/process/roundtrip"
)

// Guards against an HTTP/1.0 response whose transfer coding is delivered as a part of its body.
func TestTransferCodingUnderHTTP10FailsTheExchange(t *testing.T) {
	const chunks = "\r\n4\r\nbody\r\n0\r\n\r\n"
	want := map[string]string{ // body, or nothing for a failed exchange
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                      "",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n" + chunks: "",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody":                          "",
		"HTTP/1.0 204 X\r\nTransfer-Encoding: chunked\r\n\r\n":                            "",
		"HTTP/1.0 200 OK\r\n\r\nbody":                                                     "body",
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody and more":                       "body",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 4\r\n\r\nbody":      "body",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                      "body",
	}
	address, responses := serveResponses(t)
	client := roundtrip.New(roundtrip.Options{})
	defer client.Close()
	for response, body := range want {
		responses <- response
		request := newGet("/")
		request.NewConnection = true
		resp, err := client.Do(t.Context(), address, request)
		if err != nil {
			if body != "" {
				t.Errorf("%q failed: %v", response, err)
			}
			continue
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(got) != body || err != nil || body == "" {
			t.Errorf("%q was returned with body %q, %v; want %q", response, got, err, body)
		}
		if resp.Proto != response[:len("HTTP/1.0")] || resp.Close != (resp.ProtoMinor == 0 && resp.Header.Get("Connection") == "") {
			t.Errorf("%q is %s and closes the connection: %t", response, resp.Proto, resp.Close)
		}
	}
}
