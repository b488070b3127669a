"""Which controllers live, which shards each leads, and what they tell one another."""
