package spread

import "go.uber.org/zap"

// Service handles the calls of other VMs. Register it at the peer server under ServiceName.
type Service struct {
	push func(args PushRequest) (rep PushReply)
	pull func(args PullRequest) (rep PullReply)
}

// Service returns the receiver of the RPC methods.
func (agt *Agent[D]) Service() *Service {
	return &Service{
		push: agt.handlePush,
		pull: agt.handlePull,
	}
}

// Push handles a change pushed by a peer.
func (svc *Service) Push(args PushRequest, reply *PushReply) (err error) {
	*reply = svc.push(args)
	return nil
}

// Pull replies with the part of the document that the requesting VM lacks.
func (svc *Service) Pull(args PullRequest, reply *PullReply) (err error) {
	*reply = svc.pull(args)
	return nil
}

func (agt *Agent[D]) handlePush(args PushRequest) (rep PushReply) {
	effects := agt.handle(PushReceived{
		Now:     agt.cfg.Clock.Now(),
		Request: args,
	})
	for _, eff := range effects {
		if ans, ok := eff.(PushAnswer); ok {
			rep = ans.Reply
		}
	}
	return rep
}

func (agt *Agent[D]) handlePull(args PullRequest) (rep PullReply) {
	effects := agt.handle(PullReceived{
		Now:     agt.cfg.Clock.Now(),
		Request: args,
	})
	for _, eff := range effects {
		if ans, ok := eff.(PullAnswer); ok {
			rep = ans.Reply
		}
	}
	return rep
}

func (agt *Agent[D]) push(eff Push, address string) {
	ctx, cancel := agt.callCtx(pushTimeout)
	defer cancel()
	var reply PushReply
	err := agt.cfg.Caller.Call(ctx, address, methodPush, eff.Request, &reply)
	if err != nil {
		agt.cfg.Logger.Debug("push-failed", zap.String("to", string(eff.To)), zap.Error(err))
		return
	}
	agt.handle(SummaryReceived{
		Now:     agt.cfg.Clock.Now(),
		From:    eff.To,
		Summary: reply.Summary,
	})
}

func (agt *Agent[D]) pull(eff Pull, address string) {
	ctx, cancel := agt.callCtx(pullTimeout)
	defer cancel()
	evt := PullDone{
		From: eff.To,
		Full: eff.Request.Full,
	}
	var reply PullReply
	err := agt.cfg.Caller.Call(ctx, address, methodPull, eff.Request, &reply)
	if err != nil {
		agt.cfg.Logger.Debug("pull-failed", zap.String("from", string(eff.To)), zap.Error(err))
	} else {
		evt.Reply = &reply
	}
	evt.Now = agt.cfg.Clock.Now()
	agt.handle(evt)
}
