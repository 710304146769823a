// Command hyssopsill-standin runs stand-ins for the platform's log service and for
// targets into which faults can be injected.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopsill/hyssopsill/standin/logservice"
	"github.com/hyssopsill/hyssopsill/standin/target"
)

const readHeaderTimeout = 10 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	cmd := &cli.Command{
		Name:  "hyssopsill-standin",
		Usage: "stand-ins for the log service and for targets",
		Commands: []*cli.Command{
			{Name: "log", Usage: "run the append-only log service", Action: runLog, Flags: []cli.Flag{
				&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300"},
				&cli.IntFlag{Name: "max-records", Usage: "maximum number of records kept per stream, 0 keeps all"},
			}},
			{Name: "target", Usage: "run a target", Action: runTarget, Flags: []cli.Flag{
				&cli.StringFlag{Name: "id", Required: true},
				&cli.StringFlag{Name: "service", Required: true},
				&cli.StringFlag{Name: "node", Usage: "`URL` of the node's announce listener", Value: "http://127.0.0.1:7403"},
				&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address for requests"},
				&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "address of the control listener: faults, counts and drain"},
				&cli.IntFlag{Name: "slots", Value: 6},
				&cli.DurationFlag{Name: "ttl", Value: 3 * time.Second},
				&cli.Uint64Flag{Name: "seed", Value: 1},
				&cli.StringFlag{Name: "secret", Usage: "`TEXT` that no header of a request may contain; executions tell where it was"},
				&cli.StringFlag{Name: "executions", Usage: "`FILE` to which a JSON line is appended for each request that starts to run"},
			}},
		},
	}
	if err := cmd.Run(ctx, os.Args); err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runLog(ctx context.Context, c *cli.Command) error {
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	fmt.Printf("log: listening on %s\n", listener.Addr())
	return serve(ctx, listener, logservice.New(logservice.Options{MaxRecords: c.Int("max-records")}).Handler())
}

func runTarget(ctx context.Context, c *cli.Command) error {
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return err
	}
	control, err := net.Listen("tcp", c.String("control"))
	if err != nil {
		return err
	}
	onExecution, err := newExecutionWriter(c.String("executions"))
	if err != nil {
		return err
	}
	t := target.New(target.Options{
		ID: c.String("id"), Service: c.String("service"), Slots: c.Int("slots"), TTL: c.Duration("ttl"),
		Node: c.String("node"), Address: listener.Addr().String(), Seed: c.Uint64("seed"),
		Crash: func() { os.Exit(1) }, OnExecution: onExecution, Secret: c.String("secret"),
	})
	fmt.Printf("target: listening on %s, control on %s\n", listener.Addr(), control.Addr())
	go func() { _ = serve(ctx, control, t.ControlHandler()) }()
	go func() { _ = t.Serve(ctx) }()
	return serve(ctx, listener, t)
}

// newExecutionWriter returns a function that appends an execution to a file, as a
// line of JSON. Lines are not buffered, so that they survive when the process is
// killed. The function is nil without a file name.
func newExecutionWriter(name string) (func(target.Execution), error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return func(execution target.Execution) {
		line, err := json.Marshal(execution)
		if err == nil {
			_, err = file.Write(append(line, '\n'))
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "target: executions:", err)
			os.Exit(1)
		}
	}, nil
}

// serve handles requests until ctx is done.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
