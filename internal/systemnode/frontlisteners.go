package systemnode

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/ingress"
)

// listen opens the listeners for clients, health checks and operators, and starts serving them. If the address of a
// listener is empty in the settings, that listener is not opened.
func (f *Front) listen(ctx context.Context) error {
	addresses := f.settings.ListenAddresses
	if addresses.Front != "" {
		listener, err := f.options.Network.Listen(addresses.Front)
		if err != nil {
			return trace.Wrap(err, "listening for clients")
		}
		f.running.Go(func() { f.logListenerError("clients", f.ingress.Serve(ctx, listener)) })
	}
	options := f.ingressOptions()
	if err := f.serveHTTP(ctx, addresses.Ready, ingress.NewReadyHandler(options)); err != nil {
		return err
	}
	control := f.withInspection(f.metrics, ingress.NewOperatorHandler(options))
	return f.serveHTTP(ctx, addresses.Control, control)
}

// logListenerError logs the error with which a listener ended, unless it is nil.
func (f *Front) logListenerError(listener string, err error) {
	if err != nil {
		f.logger.Error("listener failed", zap.String("listener", listener), zap.Error(err))
	}
}

// serveHTTP opens a listener and serves HTTP until the context ends, in a goroutine that node.close waits for. It does
// nothing if the address is empty.
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
			f.logListenerError(address, err)
		}
	})
	return nil
}
