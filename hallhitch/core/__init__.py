"""What all fronts share: exchanges, deadlines and the actor of the decision module. Independent of any wire format."""
