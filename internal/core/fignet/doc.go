// Package fignet makes and accepts TCP connections that detect an unresponsive network path within
// seconds: both kinds use TCP keep-alive, and outgoing connections also limit the time for which
// sent bytes may stay unacknowledged.
//
// # Usage
//
//	conn, err := fignet.Dialer{}.Dial(ctx, address, time.Second)
//	config := fignet.ListenConfig()
//	l, err := config.Listen(ctx, "tcp", address)
package fignet
