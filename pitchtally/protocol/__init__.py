"""Wire structs of the APIs: one module each for agents, cloud, state store and users."""
