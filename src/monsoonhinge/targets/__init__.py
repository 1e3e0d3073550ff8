"""The dialect spoken with targets."""
