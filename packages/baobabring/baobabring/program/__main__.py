"""Entry point of `python -m baobabring.program`."""

from baobabring.program.main import run

if __name__ == "__main__":
    run()
