package org.pollenrock.router.task;

/**
 * A router as the instance list shows it.
 *
 * @param id name
 * @param dataCentre where it runs
 * @param address where it listens for peers
 * @param leaving whether the list shows it as leaving
 */
public record RouterEntry(String id, String dataCentre, String address, boolean leaving) {}
