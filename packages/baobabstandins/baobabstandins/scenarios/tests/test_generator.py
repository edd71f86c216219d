from baobabstandins.scenarios import generate_scenario


def test_same_seed_gives_the_same_scenario():
    assert generate_scenario(5) == generate_scenario(5)
    assert generate_scenario(5).events != generate_scenario(6).events
