"""What every front shares: exchanges, deadlines and the module's actor. It knows no wire."""
