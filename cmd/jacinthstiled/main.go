// Command jacinthstiled is the entry daemon: it receives the requests of callers
// and runs them on the endpoints of the deployment.
package main

// This file reads the settings, starts the daemon and stops it on a signal.

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/jacinthstile/jacinthstile/internal/command/logger"
	"github.com/jacinthstile/jacinthstile/internal/edge/connpool"
	"github.com/jacinthstile/jacinthstile/internal/entry/daemon"
	"github.com/jacinthstile/jacinthstile/internal/settings/config"
	"github.com/jacinthstile/jacinthstile/internal/telemetry/logwriter"
	"github.com/jacinthstile/jacinthstile/platform"
)

func main() {
	path := flag.String("settings", "", "settings file (JSON)")
	onPlatform := flag.Bool("platform", false, "run on the users' platform, with the settings file that it names")
	level := flag.String("log", "info", "log level on the platform: debug, info or error")
	metrics := flag.Int("metrics", 0, "port of the metrics on the platform; 0 for none")
	paceAll := flag.Bool("pace-all", false, "on the platform, let endpoints of all services show their pace after a start, not only of those with a warm-up")
	check := flag.Bool("check", false, "validate the settings and exit")
	trace := flag.Bool("trace", false, "print where an error came from")
	flag.Parse()
	start := func() error { return run(*path, *check) }
	if *onPlatform {
		start = func() error { return runOnPlatform(*level, *metrics, *paceAll, *check) }
	}
	if err := start(); err != nil {
		fmt.Fprintln(os.Stderr, "jacinthstiled:", eris.ToString(err, *trace))
		os.Exit(1)
	}
}

func run(path string, check bool) error {
	c, err := config.Load(path)
	if err != nil {
		return eris.Wrap(err, "loading settings")
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	signals, stopSignals := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
	d, cleanUp, err := daemon.New(c, logger.New(os.Stderr, c.Log))
	if err != nil {
		return eris.Wrap(err, "starting")
	}
	defer cleanUp()
	result := make(chan error, 1)
	go func() { result <- d.Run(context.Background()) }()
	select {
	case err := <-result:
		return eris.Wrap(err, "serving")
	case <-signals.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Bounds.GracePeriod.Duration())
	defer cancel()
	return eris.Wrap(d.Stop(ctx), "stopping")
}

func runOnPlatform(level string, metrics int, paceAll, check bool) error {
	s, err := platform.Load()
	if err != nil {
		return eris.Wrap(err, "loading settings")
	}
	if check {
		fmt.Println("settings are valid")
		return nil
	}
	s.PaceAll = paceAll
	signals, stopSignals := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	logWriter, closeLog := logwriter.New(os.Stdout)
	defer closeLog()
	p, cleanUp, err := platform.New(s, metrics, connpool.NewDial(), logger.New(logWriter, level))
	if err != nil {
		return eris.Wrap(err, "starting")
	}
	defer cleanUp()
	return eris.Wrap(p.Run(signals, reload), "serving")
}
