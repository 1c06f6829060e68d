// Command garnetload is not built yet.
package main

func main() {}
