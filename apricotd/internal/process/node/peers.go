package node

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/internal/request/router"
	"apricotrudder.dev/wire/peerwire"
	"apricotrudder.dev/wire/peerwire/peerwireconnect"
)

type (
	// peerService implements the RPC service that peers call.
	peerService struct {
		peerwireconnect.UnimplementedPeerServiceHandler
		node *Node
	}

	// sender forwards requests to peers. Requests to this node's own backend
	// server are executed directly, without a network round trip.
	sender struct{ node *Node }
)

var (
	_ peerwireconnect.PeerServiceHandler = (*peerService)(nil)
	_ router.Sender                      = (*sender)(nil)
)

// Forward executes a peer's request on this node's backend server.
func (p *peerService) Forward(ctx context.Context, r *connect.Request[peerwire.ForwardRequest]) (*connect.Response[peerwire.ForwardResponse], error) {
	if r.Msg.Context == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("got no call context, want one"))
	}
	return connect.NewResponse(p.node.executor.Execute(ctx, r.Msg)), nil
}

// Watch streams the tables and the VM list to a peer until either side stops.
func (p *peerService) Watch(ctx context.Context, r *connect.Request[peerwire.WatchRequest], stream *connect.ServerStream[peerwire.WatchResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(p.node.streamContext, cancel)()
	if err := p.node.spreader.Watch(ctx, r.Msg, stream); err != nil {
		return fmt.Errorf("serve watch: %w", err)
	}
	return nil
}

// Borrow grants a peer tokens from a rate-limit bucket that this node owns.
func (p *peerService) Borrow(_ context.Context, r *connect.Request[peerwire.BorrowRequest]) (*connect.Response[peerwire.BorrowResponse], error) {
	return connect.NewResponse(p.node.limiter.Lend(r.Msg)), nil
}

// Witness answers lease requests (query, promise, vote, release) for a shard
// whose group this node is a member of.
func (p *peerService) Witness(ctx context.Context, r *connect.Request[peerwire.WitnessRequest]) (*connect.Response[peerwire.WitnessResponse], error) {
	return connect.NewResponse(p.node.leaser.Witness(ctx, r.Msg)), nil
}

// Claim decides whether a node may execute a non-idempotent request.
func (p *peerService) Claim(ctx context.Context, r *connect.Request[peerwire.ClaimRequest]) (*connect.Response[peerwire.ClaimResponse], error) {
	return connect.NewResponse(p.node.claimer.HandleClaim(ctx, r.Msg)), nil
}

// Settle records the result of a claimed request.
func (p *peerService) Settle(ctx context.Context, r *connect.Request[peerwire.SettleRequest]) (*connect.Response[peerwire.SettleResponse], error) {
	return connect.NewResponse(p.node.claimer.HandleSettle(ctx, r.Msg)), nil
}

// Store keeps a replica of claims for a shard's owner.
func (p *peerService) Store(_ context.Context, r *connect.Request[peerwire.StoreRequest]) (*connect.Response[peerwire.StoreResponse], error) {
	return connect.NewResponse(p.node.claimer.Store(r.Msg)), nil
}

// Status returns the node's identity, its active versions and whether it is
// leaving.
func (p *peerService) Status(context.Context, *connect.Request[peerwire.StatusRequest]) (*connect.Response[peerwire.StatusResponse], error) {
	config, vms := p.node.spreader.Versions()
	return connect.NewResponse(&peerwire.StatusResponse{
		Vm:            p.node.Settings.VM,
		Process:       p.node.process,
		ConfigVersion: config,
		VmsVersion:    vms,
		Leaving:       p.node.isLeaving(),
	}), nil
}

// Forward implements router.Sender.
func (s *sender) Forward(ctx context.Context, vm string, r *peerwire.ForwardRequest) (*peerwire.ForwardResponse, error) {
	if vm == s.node.Settings.VM {
		return s.node.executor.Execute(ctx, r), nil
	}
	response, err := s.node.forwarder.Forward(ctx, vm, r)
	if err != nil {
		return nil, fmt.Errorf("forward to %s: %w", vm, err)
	}
	return response, nil
}
