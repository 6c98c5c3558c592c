package main

import (
	"crypto/rand"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/dotterelpulley/dotterelpulley"
)

func tokenCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "token",
		Short: "Make a token for an organisation's callers",
		Long: `Make a token for an organisation's callers.

Give the token to the organisation and publish its digest in the configuration;
the token itself is kept nowhere. An organisation may have two digests at once,
so that its callers can change from one token to the next.`,
		Example: "  dotterelctl token",
		Args:    cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			token := dotterelpulley.Token(rand.Text())
			fmt.Fprintf(cmd.OutOrStdout(), "token = %q\ntoken-digests = [%q]\n", token, token.Digest())
		},
	}
}
