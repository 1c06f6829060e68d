// Command garnetd is not built yet.
package main

func main() {}
