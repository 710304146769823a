package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one node of the system, started with the command of the deploy file.
type node struct {
	stage   *stage
	name    string
	zone    string
	ip      string
	service string
	process *exec.Cmd
	ended   chan struct{}
}

// Ports are the same on all machines of a deployment.
const (
	inboundPort  = 8300
	appPort      = 8301
	readyPort    = 8302
	outboundPort = 8304
	controlPort  = 8306
	internalPort = 7620
)

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// addNode starts a node beside an instance of the service.
func (s *stage) addNode(number int, zone, service string) *node {
	n := &node{stage: s, name: fmt.Sprintf("sidecar-%s-%d", zone, number), zone: zone, service: service, ip: fmt.Sprintf("%s.%d", s.network, 10+number)}
	s.nodes = append(s.nodes, n)
	n.launch()
	return n
}

// settings renders the template of the deploy file with the values of the smallest
// deployment.
func (n *node) settings() string {
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		n.stage.fail("%v", err)
	}
	text := strings.NewReplacer(
		"{{node}}", n.name, "{{region}}", "qld", "{{zone}}", n.zone, "{{service}}", n.service, "{{ip}}", n.ip,
		"{{platform.address}}", n.stage.store.address,
		"{{listen.outbound}}", n.address(outboundPort), "{{listen.inbound}}", n.address(inboundPort),
		"{{listen.control}}", n.address(controlPort), "{{listen.ready}}", n.address(readyPort),
		"{{internalPorts.0}}", fmt.Sprint(internalPort), "{{limits.memoryMb}}", "284",
		"{{bounds.graceS}}", "6", "{{bounds.floorShare}}", "0.7", "{{bounds.retryBudgetRatio}}", "0.2",
		"{{bounds.retryBudgetSlack}}", "62", "{{bounds.budgetWindowS}}", "10",
	).Replace(string(template))
	for { // sections of fields that this deployment does not have
		from := strings.Index(text, "{{#")
		if from < 0 {
			return text
		}
		name := text[from+3 : from+strings.Index(text[from:], "}}")]
		end := "{{/" + name + "}}"
		text = text[:from] + text[strings.Index(text, end)+len(end):]
	}
}

// launch starts the process.
func (n *node) launch() {
	file := filepath.Join(n.stage.scratch, n.name+".toml")
	if err := os.WriteFile(file, []byte(n.settings()), 0o600); err != nil {
		n.stage.fail("%v", err)
	}
	output, err := os.OpenFile(filepath.Join(n.stage.scratch, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		n.stage.fail("%v", err)
	}
	n.process = exec.Command("target/hyssopsilld", "mesh", "--settings", file)
	n.process.Env = append(os.Environ(), "HYSSOPSILL_CONFIG="+file)
	n.process.Stdout, n.process.Stderr = output, output
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		n.stage.fail("start of %s: %v", n.name, err)
	}
	_ = output.Close()
	ended, process := make(chan struct{}), n.process
	n.ended = ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	n.stage.note("%s started, process %d", n.name, process.Process.Pid)
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	_ = n.process.Process.Kill() // the process may have ended
	<-n.ended
}

// ready reports whether the node says that it is ready.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.address(readyPort) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (s *stage) awaitReady() {
	for _, n := range s.nodes {
		s.until(20*time.Second, n.name+" is ready", n.ready)
	}
	s.note("all nodes are ready")
}
