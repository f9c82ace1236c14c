package systemnode

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/ingress"
)

// listen opens the listeners for clients, for health checks and for operators. An empty address in the settings
// stands for no listener.
func (f *Front) listen(ctx context.Context) error {
	addresses := f.settings.ListenAddresses
	if addresses.Front != "" {
		listener, err := f.options.Network.Listen(addresses.Front)
		if err != nil {
			return trace.Wrap(err, "listening for clients")
		}
		f.running.Go(func() { f.logEnd("clients", f.ingress.Serve(ctx, listener)) })
	}
	options := f.ingressOptions()
	if err := f.serveHTTP(ctx, addresses.Ready, ingress.NewReadyHandler(options)); err != nil {
		return err
	}
	control := f.withInspection(f.metrics, ingress.NewOperatorHandler(options))
	return f.serveHTTP(ctx, addresses.Control, control)
}

// logEnd logs a listener that has failed.
func (f *Front) logEnd(listener string, err error) {
	if err != nil {
		f.logger.Error("listener failed", zap.String("listener", listener), zap.Error(err))
	}
}

// serveHTTP serves HTTP at an address until the context ends, in a goroutine that node.close waits for.
func (f *Front) serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	listener, err := f.options.Network.Listen(address)
	if err != nil {
		return trace.Wrap(err, "listening at "+address)
	}
	server := ingress.NewServer(handler, f.logger)
	context.AfterFunc(ctx, func() { server.Close() })
	f.running.Go(func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			f.logEnd(address, err)
		}
	})
	return nil
}
