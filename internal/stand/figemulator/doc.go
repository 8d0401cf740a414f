// Package figemulator emulates the systems that figtrail depends on: the
// platform's configuration service with its lists of instances and backend
// servers, model engines, plain services, and the network between them. Emulators
// run in the process that starts them, listen on 127.0.0.1, and support fault
// injection. Tests, scenario scripts and the demo use them; instances don't.
//
// # Usage
//
// Each emulator has a start function, an address and a Close method:
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
// Answers are a deterministic function of the prompt, or of a plain call's method,
// target and body. A caller that sends unique requests can therefore detect
// incomplete answers and answers to other requests: see AnswerText and PlainAnswer.
package figemulator
