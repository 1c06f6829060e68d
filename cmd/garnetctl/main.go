// Command garnetctl is not built yet.
package main

func main() {}
