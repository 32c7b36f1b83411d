def run(build, seed):
    pass
