// Package figsimulator compares placement policies in a deterministic discrete-event simulation with a
// virtual clock. The simulated engines batch decodes, allocate KV cache memory in pieces, discard a
// prefill's result when its lifetime ends, transfer KV cache over links of limited bandwidth and report
// their state with a delay. An engine in a cold start restarts if it gets too much work.
//
// A Trace is generated from a seed and is the same for every Policy. The policy Figtrail runs the
// decision code of packages figowner and figplace under the virtual clock and queues requests at the
// instances. The other policies choose servers without reservations, and requests queue at the engines.
//
// # Usage
//
//	trace := figsimulator.NewTrace(deployment, load, length, seed)
//	result := figsimulator.Run(deployment, trace, figsimulator.Figtrail, figsimulator.Healthy)
//	fmt.Println(figsimulator.Header)
//	fmt.Println(result)
//
// Only tests and benchmarks use this package.
package figsimulator
