// Command testbed serves simulators of the platform, engines and plain services,
// and runs deployments, fault schedules and measurements against them.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

const (
	// headerTimeout bounds the time in which a simulator reads the headers of a
	// request.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the time in which running requests may end when a
	// simulator stops.
	shutdownTimeout = 2 * time.Second
)

// subcommand is one command of testbed. The file of each command registers it.
type subcommand struct {
	name, short, long string
	commander         flags.Commander
}

// subcommands holds the registered commands.
var subcommands []subcommand

// register adds a command. It is called from init functions.
func register(name, short, long string, commander flags.Commander) {
	subcommands = append(subcommands, subcommand{name, short, long, commander})
}

func main() {
	parser := flags.NewNamedParser("testbed", flags.HelpFlag|flags.PassDoubleDash)
	for _, command := range subcommands {
		if _, err := parser.AddCommand(command.name, command.short, command.long, command.commander); err != nil {
			fmt.Fprintln(os.Stderr, "testbed:", err)
			os.Exit(2)
		}
	}
	_, err := parser.Parse()
	var flagsError *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp:
		fmt.Println(err)
	case errors.As(err, &flagsError):
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(1)
	}
}

// listenOptions holds the options that all simulators share.
type listenOptions struct {
	Listen string `long:"listen" value-name:"ADDRESS" default:"127.0.0.1:0" description:"address to serve on; port 0 chooses a free one"`
	Seed   uint64 `long:"seed" default:"1" description:"seed of everything random"`
}

// serve serves a simulator until SIGTERM or SIGINT. It prints the address once the
// simulator accepts connections.
func (options listenOptions) serve(name string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", options.Listen)
	if err != nil {
		return fmt.Errorf("%s: %w; choose another --listen address", name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	fmt.Printf("%s: listening on %s\n", name, listener.Addr())
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("%s: %w", name, err)
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(limit) != nil {
		return server.Close()
	}
	return nil
}
