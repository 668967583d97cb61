"""Who may go to an endpoint next: limits of the engine, shares of the accounts."""
