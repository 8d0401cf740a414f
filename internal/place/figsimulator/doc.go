// Package figsimulator compares ways of placing requests on small fakes of engines in
// virtual time. The fakes batch, hold memory in pieces, lose a prefill's result
// after its life, move KV cache over links of limited rate, report with a lag and
// break down when they get too much work in a cold start.
//
// A Trace is made from a seed and is the same for every Policy. The policy called
// Ours drives the decision code of packages figowner and figplace under the
// virtual clock; the others choose by themselves and leave the queueing to the
// engines.
//
// # Usage
//
//	trace := figsimulator.NewTrace(deployment, load, seed)
//	result := figsimulator.Run(deployment, trace, figsimulator.Ours, figsimulator.Healthy)
//	fmt.Println(figsimulator.Header)
//	fmt.Println(result)
//
// Nothing here runs in an instance.
package figsimulator
