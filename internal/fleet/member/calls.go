package member

import (
	"context"
)

// Service handles the probes of other VMs. Register it at the peer server under ServiceName.
type Service struct {
	agt *Agent
}

// Service returns the receiver of the RPC methods.
func (agt *Agent) Service() *Service {
	return &Service{
		agt: agt,
	}
}

// Ping handles a probe.
func (svc *Service) Ping(args Message, reply *Message) (err error) {
	agt := svc.agt
	effects := agt.apply(PingReceived{
		Now:     agt.cfg.Clock.Now(),
		Message: args,
	})
	// Payloads are delivered after the records, so that a subsystem finds the sender among the members.
	agt.deliverPayloads(args)
	*reply = agt.reply(effects)
	agt.startCalls(effects)
	return nil
}

// PingReq probes the target of the request and reports whether the target responded.
func (svc *Service) PingReq(ctx context.Context, args RelayRequest, reply *RelayReply) (err error) {
	agt := svc.agt
	effects := agt.apply(RelayReceived{
		Now:     agt.cfg.Clock.Now(),
		Request: args,
	})
	agt.deliverPayloads(args.Message)
	var rest []Effect
	for _, eff := range effects {
		png, ok := eff.(Ping)
		if !ok || !png.Relay {
			rest = append(rest, eff)
			continue
		}
		if msg := agt.ping(ctx, png); msg != nil && msg.From.VM.ID == args.Target.VM.ID {
			reply.Reached = true
			reply.Target = msg.From
		}
	}
	reply.Message = agt.reply(effects)
	agt.startCalls(rest)
	return nil
}

func (agt *Agent) reply(effects []Effect) (msg Message) {
	for _, eff := range effects {
		if rep, ok := eff.(Reply); ok {
			msg = agt.withPayloads(rep.Message)
		}
	}
	return msg
}

// startCalls executes the effects that are calls, each in a goroutine that the stop function waits for.
func (agt *Agent) startCalls(effects []Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case Ping:
			if !eff.Leave {
				agt.spawn(func() {
					ctx, cancel := agt.callCtx(eff.Timeout)
					defer cancel()
					agt.ping(ctx, eff)
				})
			}
		case PingReq:
			agt.spawn(func() { agt.pingReq(eff) })
		}
	}
}

func (agt *Agent) spawn(fun func()) {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	if !agt.closed {
		agt.wgr.Go(fun)
	}
}

// ping sends a probe and applies its result to the machine. It returns nil if there was no reply.
func (agt *Agent) ping(ctx context.Context, png Ping) (msg *Message) {
	ctx, cancel := context.WithTimeout(ctx, png.Timeout)
	defer cancel()
	var reply Message
	err := agt.cfg.Caller.Call(ctx, png.Address, methodPing, agt.withPayloads(png.Message), &reply)
	if err != nil {
		agt.startCalls(agt.apply(ProbeFailed{
			Now:   agt.cfg.Clock.Now(),
			Probe: png.Probe,
		}))
		return nil
	}
	agt.startCalls(agt.apply(ProbeAnswered{
		Now:     agt.cfg.Clock.Now(),
		Probe:   png.Probe,
		Message: reply,
	}))
	agt.deliverPayloads(reply)
	return &reply
}

func (agt *Agent) pingReq(req PingReq) {
	ctx, cancel := agt.callCtx(req.Timeout)
	defer cancel()
	args := req.Request
	args.Message = agt.withPayloads(args.Message)
	var reply RelayReply
	err := agt.cfg.Caller.Call(ctx, req.Address, methodPingReq, args, &reply)
	now := agt.cfg.Clock.Now()
	if err != nil || !reply.Reached {
		agt.startCalls(agt.apply(ProbeFailed{
			Now:   now,
			Probe: req.Probe,
		}))
		return
	}
	reply.Message.Updates = append(reply.Message.Updates, Update{
		Member: reply.Target,
	})
	agt.startCalls(agt.apply(ProbeAnswered{
		Now:     now,
		Probe:   req.Probe,
		Message: reply.Message,
	}))
	agt.deliverPayloads(reply.Message)
}

func (agt *Agent) handlers() []PayloadHandler {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	return agt.payloadHandlers
}

func (agt *Agent) withPayloads(msg Message) Message {
	msg.Payloads = nil
	for _, phd := range agt.handlers() {
		data := phd.Produce()
		if len(data) == 0 || len(data) > MaxPayloadBytes {
			continue
		}
		msg.Payloads = append(msg.Payloads, Payload{
			Name: phd.Name,
			Data: data,
		})
	}
	return msg
}

func (agt *Agent) deliverPayloads(msg Message) {
	if len(msg.Payloads) == 0 || msg.From.VM.ID == "" || msg.From.VM.ID == agt.cfg.Machine.Self.ID {
		return
	}
	for _, phd := range agt.handlers() {
		for _, pld := range msg.Payloads {
			if pld.Name == phd.Name {
				phd.Consume(msg.From, pld.Data)
			}
		}
	}
}
