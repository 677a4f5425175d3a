package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"marigoldfront.dev/standin/platform"
	"marigoldfront.dev/standin/target"
)

// replyGrace is the time for writing the last reply after all tasks have ended.
const replyGrace = 5 * time.Second

type platformCommand struct {
	Listen string `long:"listen" required:"true" description:"IP:port to listen on; port 0 picks one"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	stop := terminationSignal()
	// Open watches never end by themselves, so a grace period would only delay
	// the stop.
	return serve(c.Listen, &http.Server{Handler: platform.New()}, stop, 0)
}

type targetCommand struct {
	Listen        string  `long:"listen" required:"true" description:"IP:port to listen on; port 0 picks one"`
	Name          string  `long:"name" required:"true" description:"name of the target"`
	Slots         int     `long:"slots" default:"8" description:"tasks that run at once"`
	Connections   int     `long:"connections" default:"64" description:"connections that may carry tasks"`
	Speed         float64 `long:"speed" default:"1" description:"divides run times"`
	Seed          uint64  `long:"seed" default:"1" description:"seed of run times and failures"`
	FailAll       bool    `long:"fail-all" description:"fail every task"`
	FailShare     float64 `long:"fail-share" description:"share of tasks that fail, 0 to 1"`
	StraggleShare float64 `long:"straggle-share" description:"share of tasks that take 10 times as long, 0 to 1"`
	PrintStarts   bool    `long:"print-starts" description:"print each start as a JSON line before it runs"`
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	if c.Speed <= 0 || c.Slots < 1 || c.Connections < 1 {
		return fmt.Errorf("--speed, --slots and --connections must be above 0")
	}
	cfg := target.Config{Name: c.Name, Slots: c.Slots, Connections: c.Connections, Speed: c.Speed, Seed: c.Seed,
		FailAll: c.FailAll, FailShare: c.FailShare, StraggleShare: c.StraggleShare}
	if c.PrintStarts {
		enc := json.NewEncoder(os.Stdout)
		cfg.OnStart = func(s target.Start) { _ = enc.Encode(s) }
	}
	t := target.New(cfg)
	stop := make(chan struct{})
	go func() {
		<-terminationSignal()
		<-t.Leave()
		close(stop)
	}()
	return serve(c.Listen, t.Server(), stop, replyGrace)
}

// terminationSignal returns a channel that is closed on SIGTERM or SIGINT.
func terminationSignal() <-chan struct{} {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return ctx.Done()
}

// serve prints the listening address as one line and serves until stop is
// closed. Requests that are still open after grace are aborted.
func serve(address string, srv *http.Server, stop <-chan struct{}, grace time.Duration) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	fmt.Println(l.Addr())
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-stop:
	}
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	_ = srv.Shutdown(ctx)
	return srv.Close()
}
