package main

import (
	"context"
	"fmt"
)

// keyCommand groups the commands on callers' keys.
type keyCommand struct {
	Issue    issueCommand    `command:"issue" description:"Issue a key" long-description:"Prints the key once; it is stored nowhere.\n\nExample: jacinthfront key issue --organisation bonsai-club"`
	Withdraw withdrawCommand `command:"withdraw" description:"Withdraw a key" long-description:"New and queued requests stop as soon as the new version is in force; running answers finish.\n\nExample: jacinthfront key withdraw --id 4f2a…"`
	List     listCommand     `command:"list" description:"List the keys" long-description:"Example: jacinthfront key list --organisation bonsai-club"`
}

type issueCommand struct {
	operatorFlags
	Organisation string `long:"organisation" required:"true" description:"organisation that the key is for"`
	Operator     string `long:"operator" env:"USER" description:"who issues the key"`
}

// Execute implements flags.Commander.
func (command *issueCommand) Execute([]string) error {
	issued, err := command.client().IssueKey(context.Background(), command.Organisation, command.Operator)
	if err != nil {
		return err
	}
	return command.print(issued, []string{issued.Key})
}

type withdrawCommand struct {
	operatorFlags
	ID       string `long:"id" required:"true" description:"id of the key, the part between the underscores"`
	Operator string `long:"operator" env:"USER" description:"who withdraws the key"`
}

// Execute implements flags.Commander.
func (command *withdrawCommand) Execute([]string) error {
	report, err := command.client().WithdrawKey(context.Background(), command.ID, command.Operator)
	if err != nil {
		return err
	}
	if err := command.print(report, reportLines(report)); err != nil {
		return err
	}
	return resultError(report)
}

type listCommand struct {
	operatorFlags
	Organisation string `long:"organisation" description:"show only the keys of this organisation"`
}

// Execute implements flags.Commander.
func (command *listCommand) Execute([]string) error {
	keys, err := command.client().Keys(context.Background(), command.Organisation)
	if err != nil {
		return err
	}
	lines := []string{"ID\tORGANISATION"}
	for _, key := range keys {
		lines = append(lines, fmt.Sprintf("%s\t%s", key.ID, key.Organisation))
	}
	return command.print(keys, lines)
}
