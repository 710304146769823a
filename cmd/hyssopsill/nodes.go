package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/process/telemetry"
	"github.com/hyssopsill/hyssopsill/version/config"
)

const (
	requestTimeout   = 3 * time.Second // keeps one unresponsive node from using up --timeout
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 500
	// maxConcurrentRequests limits the requests in progress, as a fleet may have 790
	// nodes.
	maxConcurrentRequests = 32
)

// nodeClient sends requests to the admin listeners of the nodes that the command
// line names.
type nodeClient struct {
	urls []string
	http *http.Client
}

func newNodeClient(c *cli.Command) (*nodeClient, error) {
	nodes := &nodeClient{http: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}}
	for _, text := range c.StringSlice("node") {
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, badInputf("--node %q: want a URL such as http://127.0.0.1:7003", text)
		}
		nodes.urls = append(nodes.urls, strings.TrimSuffix(text, "/"))
	}
	return nodes, nil
}

// nodeResponse is the decoded response of one node, or the error of the request.
type nodeResponse[T any] struct {
	URL   string
	Value T
	Err   error
}

// fetchAll requests path from the nodes concurrently and returns the responses in
// the order of the command line.
func fetchAll[T any](ctx context.Context, nodes *nodeClient, path string) []nodeResponse[T] {
	responses := make([]nodeResponse[T], len(nodes.urls))
	slots := make(chan struct{}, maxConcurrentRequests)
	var wg sync.WaitGroup
	for i, base := range nodes.urls {
		responses[i].URL = base
		wg.Go(func() {
			slots <- struct{}{}
			responses[i].Err = nodes.get(ctx, base+path, &responses[i].Value)
			<-slots
		})
	}
	wg.Wait()
	return responses
}

// namedResponse is the decoded response of one node with its name, or its URL if the name
// is not known.
type namedResponse[T any] struct {
	Node  string
	Value T
}

// fetchNamed requests a path from all nodes. It returns the responses, and the errors by URL.
func fetchNamed[T any](ctx context.Context, nodes *nodeClient, path string) (named []namedResponse[T], failed map[string]string) {
	failed = map[string]string{}
	statuses := fetchAll[telemetry.Status](ctx, nodes, "/v1/status")
	for i, response := range fetchAll[T](ctx, nodes, path) {
		if response.Err != nil {
			failed[response.URL] = response.Err.Error()
			continue
		}
		name := response.URL
		if statuses[i].Err == nil {
			name = statuses[i].Value.Node
		}
		named = append(named, namedResponse[T]{name, response.Value})
	}
	return named, failed
}

func (n *nodeClient) get(ctx context.Context, address string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	res, err := n.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes)) // the status is reported in any case
		return fmt.Errorf("%s: %s: %s", address, res.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(out); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	return nil
}

// versions requests the configuration versions of the nodes. A node that does not
// respond is listed with its error and without a domain, since a change may need the
// reports of all known nodes to be accepted.
func (n *nodeClient) versions(ctx context.Context) ([]config.NodeVersion, error) {
	var out []config.NodeVersion
	for _, response := range fetchAll[telemetry.Status](ctx, n, "/v1/status") {
		version := config.NodeVersion{Node: response.URL, Err: response.Err}
		if response.Err == nil {
			version.Node, version.Domain, version.Version = response.Value.Node, response.Value.Domain, response.Value.ConfigVersion
		}
		out = append(out, version)
	}
	return out, nil
}

// reportNodeErrors writes why nodes, by URL, did not respond. It returns an error when none
// of them did.
func (a *app) reportNodeErrors(byURL map[string]string, responded int) error {
	for address, message := range byURL {
		fmt.Fprintf(a.stderr, "%s: %s\n", address, message)
	}
	if responded == 0 {
		return errors.New("no node responded")
	}
	return nil
}
