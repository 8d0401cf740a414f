// Package figemulator holds small stand-ins for what figtrail meets in production:
// the platform's configuration service with its lists, model engines, plain
// services, and the network between them. They run in the process that starts
// them, listen on 127.0.0.1, and can misbehave on request. Tests, scenario
// scripts and the demo use them; an instance never does.
//
// # Usage
//
// Each stand-in has a start function, an address and a Close method:
//
//	p, err := figemulator.StartPlatform(figemulator.PlatformOptions{})
//	defer p.Close()
//	p.Publish("accounts/huber", text)
//	p.SetInstance(figemulator.InstanceRow{Name: "a1", Address: "127.0.0.1:7001", DataCentre: "a", State: "live"})
//
//	e, err := figemulator.StartEngine(figemulator.EngineOptions{Name: "d1", Role: "decode"})
//	defer e.Close()
//	e.Faults.Set(figemulator.Fault{Kind: figemulator.Stall, Count: 1})
//
// Faults of engines and plain services can also be set over HTTP, by POST /fault
// with a body such as {"kind":"stall","for":"2s","count":1}.
//
// Answers are derived from the prompt or the body alone, so that a caller that
// sends a unique one can tell a whole answer of its own from any other: see
// AnswerText and PlainAnswer.
package figemulator
