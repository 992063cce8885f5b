package member

import (
	"context"
)

// Service answers the probes of other VMs. Register it at the peer server under ServiceName.
type Service struct {
	agt *Agent
}

// Service returns the receiver of the rpc methods.
func (agt *Agent) Service() *Service {
	return &Service{
		agt: agt,
	}
}

// Ping answers a probe.
func (svc *Service) Ping(args Message, reply *Message) (err error) {
	agt := svc.agt
	effects := agt.apply(PingReceived{
		Now:     agt.cfg.Clock.Now(),
		Message: args,
	})
	// Payloads follow the records, so that a subsystem finds their sender among the members.
	agt.consume(args)
	*reply = agt.reply(effects)
	agt.start(effects)
	return nil
}

// PingReq probes the target of the request and tells whether it answered.
func (svc *Service) PingReq(ctx context.Context, args RelayRequest, reply *RelayReply) (err error) {
	agt := svc.agt
	effects := agt.apply(RelayReceived{
		Now:     agt.cfg.Clock.Now(),
		Request: args,
	})
	agt.consume(args.Message)
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
	agt.start(rest)
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

// start carries out the calls among the effects, each in a goroutine that the clean-up function waits for.
func (agt *Agent) start(effects []Effect) {
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

// ping sends a probe and feeds its result to the machine. The answer is nil when there was none.
func (agt *Agent) ping(ctx context.Context, png Ping) (msg *Message) {
	ctx, cancel := context.WithTimeout(ctx, png.Timeout)
	defer cancel()
	var reply Message
	err := agt.cfg.Caller.Call(ctx, png.Address, methodPing, agt.withPayloads(png.Message), &reply)
	if err != nil {
		agt.start(agt.apply(ProbeFailed{
			Now:   agt.cfg.Clock.Now(),
			Probe: png.Probe,
		}))
		return nil
	}
	agt.start(agt.apply(ProbeAnswered{
		Now:     agt.cfg.Clock.Now(),
		Probe:   png.Probe,
		Message: reply,
	}))
	agt.consume(reply)
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
		agt.start(agt.apply(ProbeFailed{
			Now:   now,
			Probe: req.Probe,
		}))
		return
	}
	reply.Message.Updates = append(reply.Message.Updates, Update{
		Member: reply.Target,
	})
	agt.start(agt.apply(ProbeAnswered{
		Now:     now,
		Probe:   req.Probe,
		Message: reply.Message,
	}))
	agt.consume(reply.Message)
}

func (agt *Agent) attached() []PayloadHandler {
	agt.mut.Lock()
	defer agt.mut.Unlock()
	return agt.carriers
}

func (agt *Agent) withPayloads(msg Message) Message {
	msg.Payloads = nil
	for _, car := range agt.attached() {
		data := car.Produce()
		if len(data) == 0 || len(data) > MaxPayloadBytes {
			continue
		}
		msg.Payloads = append(msg.Payloads, Payload{
			Name: car.Name,
			Data: data,
		})
	}
	return msg
}

func (agt *Agent) consume(msg Message) {
	if len(msg.Payloads) == 0 || msg.From.VM.ID == "" || msg.From.VM.ID == agt.cfg.Machine.Self.ID {
		return
	}
	for _, car := range agt.attached() {
		for _, pld := range msg.Payloads {
			if pld.Name == car.Name {
				car.Consume(msg.From, pld.Data)
			}
		}
	}
}
