// Command figtrail routes model requests between prefill and decode pools.
package main

func main() {}
