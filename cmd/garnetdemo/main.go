// Command garnetdemo is not built yet.
package main

func main() {}
