// Package commander implements the operators' command-line tool.
//
// # Usage
//
//	environment := commander.NewEnvironment(os.Stdout, os.Stderr, os.Getenv)
//	os.Exit(commander.Run(ctx, environment, os.Args))
//
// Every command prints a table, or JSON for scripts with -json, and returns one of the
// exit codes declared in this package.
package commander
